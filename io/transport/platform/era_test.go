package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"cornellb/io/transport/platform"
)

// TestEra guards against a store that counts as restored because a header is malformed, and against one that never counts
// as restored again after an absurd value. Answers of all kinds carry the era.
func TestEra(t *testing.T) {
	tests := map[string]struct {
		headers []string
		status  int
		want    uint64
	}{
		"answer":          {headers: []string{"7"}, status: http.StatusOK, want: 7},
		"no object":       {headers: []string{"7"}, status: http.StatusNotFound, want: 7},
		"no history":      {headers: []string{"7"}, status: http.StatusGone, want: 7},
		"rate limit":      {headers: []string{"7"}, status: http.StatusTooManyRequests, want: 7},
		"not available":   {headers: []string{"7"}, status: http.StatusServiceUnavailable, want: 7},
		"zero":            {headers: []string{"0"}, status: http.StatusOK},
		"missing":         {status: http.StatusOK},
		"empty":           {headers: []string{""}, status: http.StatusOK},
		"repeated":        {headers: []string{"7", "8"}, status: http.StatusOK},
		"list":            {headers: []string{"7, 8"}, status: http.StatusOK},
		"negative":        {headers: []string{"-7"}, status: http.StatusOK},
		"fraction":        {headers: []string{"7.5"}, status: http.StatusOK},
		"word":            {headers: []string{"seven"}, status: http.StatusOK},
		"absurd":          {headers: []string{"18446744073709551615"}, status: http.StatusOK},
		"more than 64bit": {headers: []string{"18446744073709551623"}, status: http.StatusOK},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for _, h := range c.headers {
					w.Header().Add("Store-Era", h)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte("{}"))
			}))
			defer server.Close()
			client := platform.NewClient(server.URL, 0, platform.SystemClock{})
			defer client.Close()
			era := uint64(99)
			_, err := client.Do(t.Context(), platform.Call{Operation: "test", Path: "/", Reply: &struct{}{}, Era: &era})
			is.Equal(err == nil, c.status == http.StatusOK)
			is.Equal(era, c.want)
		})
	}
}
