package sql

import "strings"

func (p *parser) create() (Statement, error) {
	s := Statement{Verb: Create}
	s.Temporary = p.accept("temp") || p.accept("temporary")
	if err := p.expect("table"); err != nil {
		return s, err
	}
	if p.accept("if") {
		p.accept("not")
		p.accept("exists")
		s.IfMissing = true
	}
	var err error
	if s.Table, err = p.name(); err != nil {
		return s, err
	}
	err = p.list(func() error {
		name, err := p.name()
		if err != nil {
			return err
		}
		kind, err := p.name()
		if err != nil {
			return err
		}
		for p.peek().kind == word {
			p.next()
		}
		s.Columns = append(s.Columns, Column{
			Name: name, Text: kind == "text", Serial: strings.HasSuffix(kind, "serial"),
		})
		return nil
	})
	return s, err
}

func (p *parser) insert() (Statement, error) {
	s := Statement{Verb: Insert}
	if err := p.expect("into"); err != nil {
		return s, err
	}
	var err error
	if s.Table, err = p.name(); err != nil {
		return s, err
	}
	err = p.list(func() error {
		name, err := p.name()
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
		err := p.list(func() error {
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
	return p.returning(s)
}

func (p *parser) returning(s Statement) (Statement, error) {
	if !p.accept("returning") {
		return s, nil
	}
	names, err := p.names()
	s.Returning = names
	return s, err
}

func (p *parser) update() (Statement, error) {
	s := Statement{Verb: Update}
	var err error
	if s.Table, err = p.name(); err != nil {
		return s, err
	}
	if err := p.expect("set"); err != nil {
		return s, err
	}
	for {
		name, err := p.name()
		if err != nil {
			return s, err
		}
		if err := p.expect("="); err != nil {
			return s, err
		}
		c := change{}
		if p.peek().kind == word && p.peek().value == name {
			p.next()
			c.add = p.accept("+")
		}
		if c.expression, err = p.expression(); err != nil {
			return s, err
		}
		s.Names = append(s.Names, name)
		s.Changes = append(s.Changes, c)
		if !p.accept(",") {
			break
		}
	}
	if s.Where, err = p.where(); err != nil {
		return s, err
	}
	return p.returning(s)
}

func (p *parser) remove() (Statement, error) {
	s := Statement{Verb: Delete}
	if err := p.expect("from"); err != nil {
		return s, err
	}
	var err error
	if s.Table, err = p.name(); err != nil {
		return s, err
	}
	s.Where, err = p.where()
	return s, err
}
