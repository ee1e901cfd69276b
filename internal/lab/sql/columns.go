package sql

import "strconv"

// Describe returns the columns of a statement's result without running the statement; nil
// for one that returns no rows.
func (t *Transaction) Describe(s Statement) ([]Column, error) {
	names := s.Returning
	if s.Verb == Select {
		names = s.Names
	}
	if len(names) == 0 {
		return nil, nil
	}
	if names[0] == "count(*)" {
		return []Column{{Name: "count"}}, nil
	}
	target, err := t.table(s.Table)
	if err != nil {
		return nil, err
	}
	columns, _, err := resolveColumns(target, names)
	return columns, err
}

// ParameterColumns returns, for each parameter of a statement, the column that it is
// assigned to or compared with, and whose type it therefore has; a text column for a
// parameter without one.
func (t *Transaction) ParameterColumns(s Statement) []Column {
	columns := make([]Column, s.Parameters)
	for i := range columns {
		columns[i] = Column{Text: true}
	}
	target, err := t.table(s.Table)
	if err != nil {
		return columns
	}
	setColumn := func(e expression, name string) {
		if i, err := target.column(name); err == nil && e.parameter > 0 {
			columns[e.parameter-1] = target.columns[i]
		}
	}
	for _, values := range s.Values {
		for i := range min(len(values), len(s.Names)) {
			setColumn(values[i], s.Names[i])
		}
	}
	for i, a := range s.Assignments {
		setColumn(a.expression, s.Names[i])
	}
	for _, c := range s.Where {
		setColumn(c.value, c.column)
	}
	return columns
}

// selectColumns returns a result with the named columns of rows. Without names, it has
// neither columns nor rows.
func selectColumns(source *table, names []string, rows []Row, tag string) (Result, error) {
	if len(names) == 0 {
		return Result{Tag: tag}, nil
	}
	columns, indexes, err := resolveColumns(source, names)
	if err != nil {
		return Result{}, err
	}
	selected := make([]Row, 0, len(rows))
	for _, r := range rows {
		row := make(Row, len(indexes))
		for i, column := range indexes {
			row[i] = r[column]
		}
		selected = append(selected, row)
	}
	return Result{Columns: columns, Rows: selected, Tag: tag}, nil
}

// resolveColumns returns the named columns and their indexes. The name "*" stands for all
// columns.
func resolveColumns(source *table, names []string) ([]Column, []int, error) {
	var columns []Column
	var indexes []int
	for _, name := range names {
		if name == "*" {
			for i, c := range source.columns {
				columns = append(columns, c)
				indexes = append(indexes, i)
			}
			continue
		}
		i, err := source.column(name)
		if err != nil {
			return nil, nil, err
		}
		columns = append(columns, source.columns[i])
		indexes = append(indexes, i)
	}
	return columns, indexes, nil
}

// coerce converts a value to the type of a column. It leaves null as it is, and fails for
// text that is not an integer and for any other type than text and integers.
func coerce(value any, c Column) (any, error) {
	switch x := value.(type) {
	case nil:
		return nil, nil
	case string:
		if c.Text {
			return x, nil
		}
		n, err := strconv.ParseInt(x, 10, 64)
		if err != nil {
			return nil, NewError(CodeInvalidText, "invalid input syntax for type bigint")
		}
		return n, nil
	case int64:
		if c.Text {
			return strconv.FormatInt(x, 10), nil
		}
		return x, nil
	default:
		return nil, NewError(CodeInvalidText, "value does not fit column \""+c.Name+"\"")
	}
}
