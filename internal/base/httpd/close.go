package httpd

import "net/http"

// CloseWhen returns middleware that adds "Connection: close" to responses while
// stopping returns true. Few connections are then idle when the server stops. A
// request is lost if it is sent on an idle connection that the server is closing.
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
