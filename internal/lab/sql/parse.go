package sql

import (
	"strconv"
)

// parser parses statements from tokens.
type parser struct {
	tokens []token
	// position is the index of the next token.
	position int
	// parameters is the highest number of a parameter so far.
	parameters int
}

// Parse parses the statements of a text, which are separated by semicolons. It fails with
// an Error at the first one that it can't parse.
func Parse(source string) ([]Statement, error) {
	tokens, err := scan(source)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []Statement
	for {
		for p.accept(";") {
		}
		if p.peek().kind == endToken {
			return statements, nil
		}
		s, err := p.statement()
		if err != nil {
			return nil, err
		}
		s.Parameters = p.parameters
		statements = append(statements, s)
		if p.peek().kind != endToken && !p.accept(";") {
			return nil, p.unexpected()
		}
	}
}

func (p *parser) peek() token { return p.tokens[p.position] }

func (p *parser) next() token {
	t := p.tokens[p.position]
	if t.kind != endToken {
		p.position++
	}
	return t
}

// accept consumes the next token and returns true if the token has the value and is not a
// string constant.
func (p *parser) accept(value string) bool {
	t := p.peek()
	if t.kind == endToken || t.kind == textToken || t.value != value {
		return false
	}
	p.position++
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

func (p *parser) identifier() (string, error) {
	if p.peek().kind != wordToken {
		return "", p.unexpected()
	}
	return p.next().value, nil
}

// statement parses one statement.
func (p *parser) statement() (Statement, error) {
	verb, err := p.identifier()
	if err != nil {
		return Statement{}, err
	}
	switch verb {
	case "create":
		return p.createStatement()
	case "insert":
		return p.insertStatement()
	case "select":
		return p.selectStatement()
	case "update":
		return p.updateStatement()
	case "delete":
		return p.deleteStatement()
	case "begin", "start":
		return p.beginStatement()
	case "commit", "end":
		p.accept("work")
		return Statement{Verb: Commit}, nil
	case "rollback", "abort":
		p.accept("work")
		return Statement{Verb: Rollback}, nil
	case "set":
		return p.setStatement()
	case "show":
		name, err := p.identifier()
		return Statement{Verb: Show, Table: name}, err
	case "reset", "discard", "deallocate":
		name, err := p.identifier()
		return Statement{Verb: Reset, Table: verb + " " + name}, err
	default:
		p.position--
		return Statement{}, p.unexpected()
	}
}

// parenthesizedList parses items in parentheses, separated by commas. parseItem parses one
// of them.
func (p *parser) parenthesizedList(parseItem func() error) error {
	if err := p.expect("("); err != nil {
		return err
	}
	if p.accept(")") {
		return nil
	}
	for {
		if err := parseItem(); err != nil {
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

// columnNames parses column names or "*", separated by commas.
func (p *parser) columnNames() ([]string, error) {
	var names []string
	for {
		if p.accept("*") {
			names = append(names, "*")
		} else {
			name, err := p.identifier()
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

func (p *parser) selectStatement() (Statement, error) {
	s := Statement{Verb: Select, Limit: -1}
	if p.peek().kind == numberToken || p.peek().kind == parameterToken || p.peek().kind == textToken {
		e, err := p.expression()
		return Statement{Verb: Call, Arguments: []expression{e}}, err
	}
	if p.isCall("count") {
		p.position += 2
		p.accept("*")
		p.accept(")")
		s.Names = []string{"count(*)"}
	} else if p.tokens[p.position+1].value == "(" && p.peek().kind == wordToken {
		return p.callStatement()
	} else {
		names, err := p.columnNames()
		if err != nil {
			return s, err
		}
		s.Names = names
	}
	if err := p.expect("from"); err != nil {
		return s, err
	}
	if p.tokens[p.position+1].value == "(" {
		return p.callStatement()
	}
	var err error
	if s.Table, err = p.identifier(); err != nil {
		return s, err
	}
	return p.selectTail(s)
}

func (p *parser) isCall(name string) bool {
	return p.peek().value == name && p.tokens[p.position+1].value == "("
}

func (p *parser) callStatement() (Statement, error) {
	s := Statement{Verb: Call}
	var err error
	if s.Table, err = p.identifier(); err != nil {
		return s, err
	}
	err = p.parenthesizedList(func() error {
		e, err := p.expression()
		s.Arguments = append(s.Arguments, e)
		return err
	})
	return s, err
}

// selectTail parses the conditions, the order and the limit of a SELECT.
func (p *parser) selectTail(s Statement) (Statement, error) {
	var err error
	if s.Where, err = p.whereClause(); err != nil {
		return s, err
	}
	if p.accept("order") {
		p.accept("by")
		if s.OrderBy, err = p.identifier(); err != nil {
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

func (p *parser) whereClause() ([]condition, error) {
	if !p.accept("where") {
		return nil, nil
	}
	var conditions []condition
	for {
		column, err := p.identifier()
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
		conditions = append(conditions, condition{column, e})
		if !p.accept("and") {
			return conditions, nil
		}
	}
}

func (p *parser) beginStatement() (Statement, error) {
	s := Statement{Verb: Begin}
	for p.peek().kind == wordToken {
		if p.accept("read") {
			s.ReadOnly = s.ReadOnly || p.peek().value == "only"
			continue
		}
		p.next()
	}
	return s, nil
}

func (p *parser) setStatement() (Statement, error) {
	s := Statement{Verb: Set}
	if !p.accept("session") {
		p.accept("local")
	}
	var err error
	if s.Table, err = p.identifier(); err != nil {
		return s, err
	}
	if !p.accept("=") && !p.accept("to") {
		return s, p.unexpected()
	}
	if p.peek().kind == wordToken {
		s.Arguments = []expression{{constant: p.next().value}}
		return s, nil
	}
	e, err := p.expression()
	s.Arguments = []expression{e}
	return s, err
}

// expression parses a constant or a parameter. It skips casts.
func (p *parser) expression() (expression, error) {
	negative := p.accept("-")
	t := p.next()
	var e expression
	switch t.kind {
	case numberToken:
		e.constant = parseNumber(t.value, negative)
	case textToken:
		e.constant = t.value
	case parameterToken:
		n, err := strconv.Atoi(t.value)
		if err != nil || n < 1 {
			return e, NewError(CodeSyntax, "bad parameter")
		}
		e.parameter = n
		p.parameters = max(p.parameters, n)
	case wordToken:
		if t.value != "null" {
			return e, NewError(CodeSyntax, "unexpected word "+t.value)
		}
	default:
		p.position--
		return e, p.unexpected()
	}
	for p.accept(":") {
		if p.peek().kind == wordToken {
			p.next()
		}
	}
	return e, nil
}

// parseNumber returns the value of a number token as an int64, or as a float64 if it is no
// integer of 64 bits.
func parseNumber(digits string, negative bool) any {
	if n, err := strconv.ParseInt(digits, 10, 64); err == nil {
		if negative {
			return -n
		}
		return n
	}
	f, _ := strconv.ParseFloat(digits, 64)
	if negative {
		return -f
	}
	return f
}
