package header

import "net/http"

// maxStatus is the largest status code of RFC 9110.
const maxStatus = 599

// IsFinalStatus reports whether a code is that of a final response. An HTTP client also returns
// responses with other codes, such as 000 or an unrequested 101.
func IsFinalStatus(code int) bool {
	return code >= http.StatusOK && code <= maxStatus
}
