package platform

import (
	"net/http"
	"strconv"
)

const (
	// eraHeader is the response header with the era of the store, which increases by one whenever the store is restored
	// from a copy.
	eraHeader = "Store-Era"
	// maxEra is far above the number of restores of any store. A larger value is a fault, and would make all later
	// answers look old.
	maxEra = 1 << 32
)

// eraOf returns the era in a response header, or 0 if the header is missing, repeated or no whole number up to maxEra.
func eraOf(h http.Header) uint64 {
	values := h.Values(eraHeader)
	if len(values) != 1 {
		return 0
	}
	era, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil || era > maxEra {
		return 0
	}
	return era
}
