package sql

import (
	"strconv"
)

// parser reads one statement from tokens.
type parser struct {
	tokens []token
	at     int
	// parameters is the number of the highest parameter seen.
	parameters int
}

// Parse reads all statements of a text, separated by semicolons.
func Parse(source string) ([]Statement, error) {
	tokens, err := scan(source)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var all []Statement
	for {
		for p.accept(";") {
		}
		if p.peek().kind == end {
			return all, nil
		}
		s, err := p.statement()
		if err != nil {
			return nil, err
		}
		s.Parameters = p.parameters
		all = append(all, s)
		if p.peek().kind != end && !p.accept(";") {
			return nil, p.unexpected()
		}
	}
}

func (p *parser) peek() token { return p.tokens[p.at] }

func (p *parser) next() token {
	t := p.tokens[p.at]
	if t.kind != end {
		p.at++
	}
	return t
}

// accept takes the next token if it has the value and is not a text.
func (p *parser) accept(value string) bool {
	t := p.peek()
	if t.kind == end || t.kind == text || t.value != value {
		return false
	}
	p.at++
	return true
}

func (p *parser) expect(value string) error {
	if p.accept(value) {
		return nil
	}
	return p.unexpected()
}

func (p *parser) unexpected() error {
	return NewError(CodeSyntax, "syntax error at or near \""+p.peek().value+"\"")
}

func (p *parser) name() (string, error) {
	if p.peek().kind != word {
		return "", p.unexpected()
	}
	return p.next().value, nil
}

// statement reads one statement.
func (p *parser) statement() (Statement, error) {
	verb, err := p.name()
	if err != nil {
		return Statement{}, err
	}
	switch verb {
	case "create":
		return p.create()
	case "insert":
		return p.insert()
	case "select":
		return p.query()
	case "update":
		return p.update()
	case "delete":
		return p.remove()
	case "begin", "start":
		return p.begin()
	case "commit", "end":
		p.accept("work")
		return Statement{Verb: Commit}, nil
	case "rollback", "abort":
		p.accept("work")
		return Statement{Verb: Rollback}, nil
	case "set":
		return p.set()
	case "show":
		name, err := p.name()
		return Statement{Verb: Show, Table: name}, err
	case "reset", "discard", "deallocate":
		name, err := p.name()
		return Statement{Verb: Reset, Table: verb + " " + name}, err
	default:
		p.at--
		return Statement{}, p.unexpected()
	}
}

// list reads items between brackets, separated by commas.
func (p *parser) list(item func() error) error {
	if err := p.expect("("); err != nil {
		return err
	}
	if p.accept(")") {
		return nil
	}
	for {
		if err := item(); err != nil {
			return err
		}
		if p.accept(")") {
			return nil
		}
		if err := p.expect(","); err != nil {
			return err
		}
	}
}

// names reads column names separated by commas.
func (p *parser) names() ([]string, error) {
	var names []string
	for {
		if p.accept("*") {
			names = append(names, "*")
		} else {
			name, err := p.name()
			if err != nil {
				return nil, err
			}
			names = append(names, name)
		}
		if !p.accept(",") {
			return names, nil
		}
	}
}

func (p *parser) query() (Statement, error) {
	s := Statement{Verb: Select, Limit: -1}
	if p.peek().kind == number || p.peek().kind == parameter || p.peek().kind == text {
		e, err := p.expression()
		return Statement{Verb: Call, Arguments: []expression{e}}, err
	}
	if p.isCall("count") {
		p.at += 2
		p.accept("*")
		p.accept(")")
		s.Names = []string{"count(*)"}
	} else if p.tokens[p.at+1].value == "(" && p.peek().kind == word {
		return p.call()
	} else {
		names, err := p.names()
		if err != nil {
			return s, err
		}
		s.Names = names
	}
	if err := p.expect("from"); err != nil {
		return s, err
	}
	if p.tokens[p.at+1].value == "(" {
		return p.call()
	}
	var err error
	if s.Table, err = p.name(); err != nil {
		return s, err
	}
	return p.tail(s)
}

func (p *parser) isCall(name string) bool {
	return p.peek().value == name && p.tokens[p.at+1].value == "("
}

func (p *parser) call() (Statement, error) {
	s := Statement{Verb: Call}
	var err error
	if s.Table, err = p.name(); err != nil {
		return s, err
	}
	err = p.list(func() error {
		e, err := p.expression()
		s.Arguments = append(s.Arguments, e)
		return err
	})
	return s, err
}

// tail reads the conditions, the order and the limit.
func (p *parser) tail(s Statement) (Statement, error) {
	var err error
	if s.Where, err = p.where(); err != nil {
		return s, err
	}
	if p.accept("order") {
		p.accept("by")
		if s.Order, err = p.name(); err != nil {
			return s, err
		}
	}
	if p.accept("limit") {
		if s.Limit, err = strconv.Atoi(p.next().value); err != nil {
			return s, NewError(CodeSyntax, "limit must be a whole number")
		}
	}
	return s, nil
}

func (p *parser) where() ([]condition, error) {
	if !p.accept("where") {
		return nil, nil
	}
	var all []condition
	for {
		column, err := p.name()
		if err != nil {
			return nil, err
		}
		if err := p.expect("="); err != nil {
			return nil, err
		}
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		all = append(all, condition{column, e})
		if !p.accept("and") {
			return all, nil
		}
	}
}

func (p *parser) begin() (Statement, error) {
	s := Statement{Verb: Begin}
	for p.peek().kind == word {
		if p.accept("read") {
			s.ReadOnly = s.ReadOnly || p.peek().value == "only"
			continue
		}
		p.next()
	}
	return s, nil
}

func (p *parser) set() (Statement, error) {
	s := Statement{Verb: Set}
	if !p.accept("session") {
		p.accept("local")
	}
	var err error
	if s.Table, err = p.name(); err != nil {
		return s, err
	}
	if !p.accept("=") && !p.accept("to") {
		return s, p.unexpected()
	}
	if p.peek().kind == word {
		s.Arguments = []expression{{constant: p.next().value}}
		return s, nil
	}
	e, err := p.expression()
	s.Arguments = []expression{e}
	return s, err
}

// expression reads a constant or a parameter, with an optional cast that is
// passed over.
func (p *parser) expression() (expression, error) {
	negative := p.accept("-")
	t := p.next()
	var e expression
	switch t.kind {
	case number:
		e.constant = numeric(t.value, negative)
	case text:
		e.constant = t.value
	case parameter:
		n, err := strconv.Atoi(t.value)
		if err != nil || n < 1 {
			return e, NewError(CodeSyntax, "bad parameter")
		}
		e.parameter = n
		p.parameters = max(p.parameters, n)
	case word:
		if t.value != "null" {
			return e, NewError(CodeSyntax, "unexpected word "+t.value)
		}
	default:
		p.at--
		return e, p.unexpected()
	}
	for p.accept(":") {
		if p.peek().kind == word {
			p.next()
		}
	}
	return e, nil
}

// numeric reads a number that scan has found.
func numeric(s string, negative bool) any {
	if n, err := strconv.ParseInt(s, 10, 64); err == nil {
		if negative {
			return -n
		}
		return n
	}
	f, _ := strconv.ParseFloat(s, 64)
	if negative {
		return -f
	}
	return f
}
