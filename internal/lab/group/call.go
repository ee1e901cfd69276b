package group

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/sql"
	model "eelgrassladder.example/eelgrassladder/internal/model/group"
)

// progressColumns is the single text column of the functions that return a member's
// progress. One column for all values keeps the answer short.
var progressColumns = []sql.Column{{Name: "progress", Text: true}}

// callFunction runs SELECT of a function or of a constant. The functions with the prefix
// group_ are those of the platform's members.
func (p *session) callFunction(ctx context.Context, s sql.Statement, arguments []any) (sql.Result, error) {
	p.commandRun = s.Table == "group_fence" || s.Table == "group_promote" || s.Table == "group_follow"
	switch s.Table {
	case "":
		return p.selectConstant(ctx, s, arguments)
	case "pg_sleep":
		seconds, _ := strconv.ParseFloat(textOf(s.Value(0, arguments)), 64)
		err := p.holdSlot(ctx, time.Duration(seconds*float64(time.Second)))
		return sql.Result{Columns: []sql.Column{{Name: "pg_sleep", Text: true}}, Rows: []sql.Row{{""}}, Tag: "SELECT 1"}, err
	case "group_position":
		return p.positionResult()
	case "group_progress":
		known := model.Progress{
			Term:     unsignedOf(s.Value(0, arguments)),
			Role:     model.Role(textOf(s.Value(1, arguments))),
			Received: unsignedOf(s.Value(2, arguments)),
			Applied:  unsignedOf(s.Value(3, arguments)),
		}
		limit := time.Duration(unsignedOf(s.Value(4, arguments))) * time.Millisecond
		return progressResult(p.awaitProgress(ctx, known, limit), nil)
	case "group_fence":
		return progressResult(p.member.fence(unsignedOf(s.Value(0, arguments)), textOf(s.Value(1, arguments))))
	case "group_promote":
		return progressResult(p.member.promote(unsignedOf(s.Value(0, arguments)), textOf(s.Value(1, arguments))))
	case "group_follow":
		return p.follow(unsignedOf(s.Value(0, arguments)), textOf(s.Value(1, arguments)))
	default:
		return sql.Result{}, sql.NewError(sql.CodeNoFunction, "function "+s.Table+" does not exist")
	}
}

// selectConstant runs SELECT of a constant, which holds a slot for the service time like
// any read.
func (p *session) selectConstant(ctx context.Context, s sql.Statement, arguments []any) (sql.Result, error) {
	if err := p.holdSlot(ctx, p.member.Conditions().ServiceTime); err != nil {
		return sql.Result{}, err
	}
	v := s.Value(0, arguments)
	_, isText := v.(string)
	return sql.Result{Columns: []sql.Column{{Name: "?column?", Text: isText}}, Rows: []sql.Row{{v}}, Tag: "SELECT 1"}, nil
}

// positionResult returns the member's term and the log index of the last entry that
// reads of the member see. It holds no slot.
func (p *session) positionResult() (sql.Result, error) {
	p.member.mutex.Lock()
	defer p.member.mutex.Unlock()
	if err := p.member.checkTerm(p.term); err != nil {
		return sql.Result{}, err
	}
	return sql.Result{
		Columns: []sql.Column{{Name: "term"}, {Name: "applied"}},
		Rows:    []sql.Row{{int64(p.member.term), int64(p.member.applied)}}, Tag: "SELECT 1",
	}, nil
}

// awaitProgress waits until the member's progress differs from the known one in term,
// role, received or applied, at most for the limit, and returns it.
func (p *session) awaitProgress(ctx context.Context, known model.Progress, limit time.Duration) model.Progress {
	deadline := time.Now().Add(limit)
	for {
		p.member.mutex.Lock()
		now := time.Now()
		current, changed := p.member.progress(now), p.member.changed
		p.member.mutex.Unlock()
		same := current.Term == known.Term && current.Role == known.Role &&
			current.Received == known.Received && current.Applied == known.Applied
		if !same || !now.Before(deadline) || ctx.Err() != nil {
			return current
		}
		wait(ctx, changed, deadline.Sub(now))
	}
}

// follow makes the member follow the member with the name as the primary of the term.
func (p *session) follow(term uint64, primary string) (sql.Result, error) {
	source := p.server.group.Member(primary)
	if source == nil {
		return sql.Result{}, sql.NewError("22023", "no such member")
	}
	return progressResult(p.member.follow(term, source))
}

// progressResult returns err, or a row with the progress: term, role, term of the last
// entry, received, applied, and milliseconds since the last contact with the primary.
func progressResult(p model.Progress, err error) (sql.Result, error) {
	if err != nil {
		return sql.Result{}, err
	}
	row := fmt.Sprintf("%d %s %d %d %d %d", p.Term, p.Role, p.LogTerm, p.Received, p.Applied, p.SinceContact.Milliseconds())
	return sql.Result{Columns: progressColumns, Rows: []sql.Row{{row}}, Tag: "SELECT 1"}, nil
}

// textOf returns the value as text; empty for null.
func textOf(v any) string {
	switch x := v.(type) {
	case string:
		return x
	case int64:
		return strconv.FormatInt(x, 10)
	case float64:
		return strconv.FormatFloat(x, 'g', -1, 64)
	default:
		return ""
	}
}

// unsignedOf returns the value as an unsigned integer; zero if it is not one.
func unsignedOf(v any) uint64 {
	n, err := strconv.ParseUint(textOf(v), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
