package httpd

import "net/http"

// CloseWhen asks callers to close their connection with the answer while
// stopping returns true, so that few are idle when the server stops and a
// request could cross the close.
func CloseWhen(stopping func() bool) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if stopping() {
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, r)
		})
	}
}
