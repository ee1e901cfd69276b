// Package logging sets up structured logging through klog: one JSON object per
// line, with keys in Pascal case. Passwords, keys and rows are never logged.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Configure sets up klog to write all log lines to w. Level 0 logs what
// operators need; each higher level, up to 4, adds detail.
func Configure(w io.Writer, level int) error {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level:       slog.Level(-level),
		ReplaceAttr: renameKey,
	})
	klog.SetSlogLogger(slog.New(handler))
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return errors.WithStack(flags.Set("v", strconv.Itoa(level)))
}

// renameKey changes keys to Pascal case. The ones that slog sets itself are
// time, level and msg; msg becomes Message.
func renameKey(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Key == "msg" {
		attribute.Key = "Message"
		return attribute
	}
	if attribute.Key != "" {
		attribute.Key = strings.ToUpper(attribute.Key[:1]) + attribute.Key[1:]
	}
	return attribute
}
