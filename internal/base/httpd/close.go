package httpd

import "net/http"

// CloseWhen returns middleware that adds "Connection: close" to responses while
// stopping returns true. This leaves few idle connections when the server stops,
// on which a request could be lost because it is sent as the server closes them.
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
