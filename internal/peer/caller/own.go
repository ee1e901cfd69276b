package caller

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
)

// The system's own settings, which callers set and show like any other.
const (
	settingPrefix      = "eelgrassladder."
	settingClass       = settingPrefix + "class"
	settingSession     = settingPrefix + "session"
	settingSessionName = settingPrefix + "session_name"
	settingKey         = settingPrefix + "request_key"
)

// maxSettingBytes bounds the value of a setting other than the session.
const maxSettingBytes = 256

// ownText finds SET and SHOW of the system's own settings.
var ownText = regexp.MustCompile(`(?is)^\s*(set|show)\s+(?:session\s+)?(eelgrassladder\.[a-z_]+)\s*(?:(?:=|\bto\b)\s*(?:'([^']*)'|([\w.:,-]+|default)))?\s*;?\s*$`)

// ownMessage is a message of the extended protocol about an own setting: its
// type, with 'p' for the Describe of a portal.
type ownMessage struct {
	kind byte
	text string
}

// ownSetting reports whether a statement is about an own setting.
func ownSetting(text string) bool {
	return len(text) < 2*maxSettingBytes+16<<10 && strings.Contains(strings.ToLower(text), settingPrefix) && ownText.MatchString(text)
}

// ownResult is the answer to a statement about an own setting.
type ownResult struct {
	// column is empty for SET.
	column string
	// value is what SHOW answers, or the session that SET has put into force.
	value string
	// session is true when SET has changed the session.
	session bool
}

// runOwn carries out a SET or SHOW.
func (c *connection) runOwn(text string) (ownResult, *request.Refusal) {
	parts := ownText.FindStringSubmatch(text)
	name := strings.ToLower(parts[2])
	if strings.EqualFold(parts[1], "show") {
		value, refusal := c.ownValue(name)
		return ownResult{column: name, value: value}, refusal
	}
	value := parts[3]
	if value == "" && !strings.EqualFold(parts[4], "default") {
		value = parts[4]
	}
	refusal := c.setOwn(name, value)
	return ownResult{session: name == settingSession, value: c.token.String()}, refusal
}

// ownValue returns the value of an own setting.
func (c *connection) ownValue(name string) (string, *request.Refusal) {
	switch name {
	case settingClass:
		return c.class, nil
	case settingSession:
		return c.token.String(), nil
	case settingSessionName:
		return c.sessionName, nil
	case settingKey:
		return c.key, nil
	default:
		return "", &request.Refusal{Code: "42704", Message: "unrecognized setting \"" + name + "\""}
	}
}

// setOwn sets an own setting. A session token replaces the one in force, so
// that one connection can serve one session after another.
func (c *connection) setOwn(name, value string) *request.Refusal {
	if name != settingSession && len(value) > maxSettingBytes {
		return &request.Refusal{Code: request.CodeBadValue, Message: "value of \"" + name + "\" is too long"}
	}
	switch name {
	case settingClass:
		return c.setClass(value)
	case settingSession:
		token, err := session.Parse(value)
		if err != nil {
			return &request.Refusal{
				Code: request.CodeBadValue, Message: err.Error(),
				Hint: "Pass on the value of SHOW eelgrassladder.session unchanged.",
			}
		}
		c.token = token
	case settingSessionName:
		c.sessionName = value
	case settingKey:
		c.key = value
	default:
		return &request.Refusal{Code: "42704", Message: "unrecognized setting \"" + name + "\""}
	}
	return nil
}

// setClass sets the class of the connection's work.
func (c *connection) setClass(name string) *request.Refusal {
	known, ok := c.front.versions.Current().Caller(c.caller)
	if !ok {
		return &request.Refusal{Code: request.CodeNotAllowed, Message: "caller is no longer in the configuration"}
	}
	if name == "" {
		name = known.Classes[0]
	}
	if _, ok := c.front.versions.Current().Class(name); !ok {
		return &request.Refusal{
			Code: request.CodeBadValue, Message: "unknown class of work \"" + name + "\"",
			Hint: "The caller may use: " + strings.Join(known.Classes, ", ") + ".",
		}
	}
	if !known.MayUse(name) {
		return &request.Refusal{
			Code: request.CodeNotAllowed, Message: "caller may not use class \"" + name + "\"",
			Hint: "The caller may use: " + strings.Join(known.Classes, ", ") + ".",
		}
	}
	c.class = name
	return nil
}

// answerOwn answers a batch about own settings.
func (c *connection) answerOwn(b *batch) []byte {
	var out encoder
	for _, m := range b.own {
		switch m.kind {
		case 'P':
			out.add(&pgproto3.ParseComplete{})
		case 'B':
			out.add(&pgproto3.BindComplete{})
		case 'D':
			out.add(&pgproto3.ParameterDescription{})
			out.add(describeOwn(m.text))
		case 'p':
			out.add(describeOwn(m.text))
		case 'E':
			result, refusal := c.runOwn(m.text)
			if refusal != nil {
				out.refuse(*refusal)
				return out.ready(c.status())
			}
			out.result(result, false)
		}
	}
	return out.ready(c.status())
}

// describeOwn describes the columns of a statement about an own setting.
func describeOwn(text string) pgproto3.BackendMessage {
	parts := ownText.FindStringSubmatch(text)
	if strings.EqualFold(parts[1], "set") {
		return &pgproto3.NoData{}
	}
	return textColumn(strings.ToLower(parts[2]))
}

// textColumn describes one column of text.
func textColumn(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}
