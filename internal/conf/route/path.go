package route

import (
	"net/url"
	"strings"
)

// escapeSegment escapes what would make a decoded segment of a path ambiguous.
var escapeSegment = strings.NewReplacer("%", "%25", "/", "%2F")

// MatchPath returns the path of a URL as it is compared with prefixes: decoded, except escaped
// slashes, which are data of a segment and not separators (RFC 3986, section 2.2), and escaped
// percent signs.
func MatchPath(u *url.URL) string {
	if u.RawPath == "" && !strings.Contains(u.Path, "%") {
		return u.Path
	}
	segments := strings.Split(u.EscapedPath(), "/")
	for i, s := range segments {
		decoded, err := url.PathUnescape(s)
		if err != nil {
			return u.Path
		}
		segments[i] = escapeSegment.Replace(decoded)
	}
	return strings.Join(segments, "/")
}
