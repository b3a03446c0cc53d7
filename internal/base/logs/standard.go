package logs

import (
	"bytes"
	stdlog "log"

	"github.com/rs/zerolog"
)

// maxLibraryLineBytes limits the text of one line of a library. The HTTP client logs
// bytes that an upstream sent without a request.
const maxLibraryLineBytes = 200

// CaptureStandard writes the lines of the standard library's logger to l, as events of
// level info, so that they are bounded like all others.
func CaptureStandard(l zerolog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&libraryWriter{log: l})
}

// libraryWriter implements io.Writer for the standard library's logger.
type libraryWriter struct {
	log zerolog.Logger
}

// Write implements io.Writer. Each call has one line.
func (w *libraryWriter) Write(p []byte) (int, error) {
	text := bytes.TrimRight(p, "\n")
	w.log.Info().Bytes("detail", text[:min(len(text), maxLibraryLineBytes)]).Int("bytes", len(text)).Msg("library_log")
	return len(p), nil
}
