package directory

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Cookie returns a cookie of an endpoint; variant selects one of the endpoint's cookies. It depends on the ID alone, so
// that all balancers compute the same value even while they know different sets of endpoints. The incarnation is not
// part of it, since an endpoint that restarts under its ID answers packets of earlier flows with a reset. 0 is never
// returned: it marks packets without a cookie.
func Cookie(id string, variant int) uint32 {
	h := xxhash.Sum64String(strconv.Itoa(variant) + "/" + id)
	if folded := uint32(h>>32) ^ uint32(h); folded != 0 {
		return folded
	}
	return 1
}
