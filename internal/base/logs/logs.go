// Package logs sets zerolog up to write one line of key=value pairs per event.
package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes key=value lines to w. The message of an
// event is its name, in snake case.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	cw := zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		FormatTimestamp:  func(i any) string { return fmt.Sprintf("time=%v", i) },
		FormatLevel:      func(i any) string { return fmt.Sprintf("level=%v", i) },
		FormatMessage:    func(i any) string { return fmt.Sprintf("event=%v", i) },
		FormatFieldName:  func(i any) string { return fmt.Sprintf("%v=", i) },
		FormatFieldValue: formatValue,
		FormatErrFieldName: func(i any) string {
			return fmt.Sprintf("%v=", i)
		},
		FormatErrFieldValue: formatValue,
	}
	return zerolog.New(cw).Level(level).With().Timestamp().Logger()
}

func formatValue(i any) string {
	s := strings.Trim(fmt.Sprint(i), "\"")
	if s == "" || strings.ContainsAny(s, " =\"\n") {
		return strconv.Quote(s)
	}
	return s
}
