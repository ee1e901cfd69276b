package sql

import "strings"

// createStatement parses a CREATE TABLE after its first word. A column of any type but text
// is an integer. Words after the type, such as those of constraints, are skipped.
func (p *parser) createStatement() (Statement, error) {
	s := Statement{Verb: Create}
	s.Temporary = p.accept("temp") || p.accept("temporary")
	if err := p.expect("table"); err != nil {
		return s, err
	}
	if p.accept("if") {
		p.accept("not")
		p.accept("exists")
		s.IfNotExists = true
	}
	var err error
	if s.Table, err = p.identifier(); err != nil {
		return s, err
	}
	err = p.parenthesizedList(func() error {
		name, err := p.identifier()
		if err != nil {
			return err
		}
		typeName, err := p.identifier()
		if err != nil {
			return err
		}
		for p.peek().kind == wordToken {
			p.next()
		}
		s.Columns = append(s.Columns, Column{
			Name: name, Text: typeName == "text", Serial: strings.HasSuffix(typeName, "serial"),
		})
		return nil
	})
	return s, err
}

func (p *parser) insertStatement() (Statement, error) {
	s := Statement{Verb: Insert}
	if err := p.expect("into"); err != nil {
		return s, err
	}
	var err error
	if s.Table, err = p.identifier(); err != nil {
		return s, err
	}
	err = p.parenthesizedList(func() error {
		name, err := p.identifier()
		s.Names = append(s.Names, name)
		return err
	})
	if err != nil {
		return s, err
	}
	if err := p.expect("values"); err != nil {
		return s, err
	}
	for {
		var row []expression
		err := p.parenthesizedList(func() error {
			e, err := p.expression()
			row = append(row, e)
			return err
		})
		if err != nil {
			return s, err
		}
		s.Values = append(s.Values, row)
		if !p.accept(",") {
			break
		}
	}
	return p.returningClause(s)
}

func (p *parser) returningClause(s Statement) (Statement, error) {
	if !p.accept("returning") {
		return s, nil
	}
	names, err := p.columnNames()
	s.Returning = names
	return s, err
}

func (p *parser) updateStatement() (Statement, error) {
	s := Statement{Verb: Update}
	var err error
	if s.Table, err = p.identifier(); err != nil {
		return s, err
	}
	if err := p.expect("set"); err != nil {
		return s, err
	}
	for {
		name, err := p.identifier()
		if err != nil {
			return s, err
		}
		if err := p.expect("="); err != nil {
			return s, err
		}
		a := assignment{}
		if p.peek().kind == wordToken && p.peek().value == name {
			p.next()
			a.addsToOld = p.accept("+")
		}
		if a.expression, err = p.expression(); err != nil {
			return s, err
		}
		s.Names = append(s.Names, name)
		s.Assignments = append(s.Assignments, a)
		if !p.accept(",") {
			break
		}
	}
	if s.Where, err = p.whereClause(); err != nil {
		return s, err
	}
	return p.returningClause(s)
}

func (p *parser) deleteStatement() (Statement, error) {
	s := Statement{Verb: Delete}
	if err := p.expect("from"); err != nil {
		return s, err
	}
	var err error
	if s.Table, err = p.identifier(); err != nil {
		return s, err
	}
	s.Where, err = p.whereClause()
	return s, err
}
