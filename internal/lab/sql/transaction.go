package sql

import (
	"slices"
	"strconv"
)

// Transaction collects changes to a database. The member commits them. It is not safe for
// concurrent use, and its calls need the mutex that guards the database.
type Transaction struct {
	database *Database
	// temporary holds the temporary tables of the connection.
	temporary *Database
	// readOnly makes Run refuse statements that write.
	readOnly bool
	// changes has the changes to commit, in order.
	changes []Change
	// rows has the newest row of each key that the transaction wrote; nil for a deleted
	// row.
	rows map[rowKey]Row
	// created has the tables that the transaction has created.
	created map[string]*table
}

// rowKey identifies a row by its table and key.
type rowKey struct {
	table string
	key   any
}

// Result is the result of a statement.
type Result struct {
	Columns []Column
	Rows    []Row
	Tag     string
}

// NewTransaction returns a transaction on the database and the temporary tables of the
// connection.
func NewTransaction(database, temporary *Database, readOnly bool) *Transaction {
	return &Transaction{
		database: database, temporary: temporary, readOnly: readOnly,
		rows: map[rowKey]Row{}, created: map[string]*table{},
	}
}

// Changes returns the changes to commit, in order.
func (t *Transaction) Changes() []Change { return t.changes }

// Conflict fails if another transaction has committed a change of a row that this one
// changes, since this one read the row, or has created a table that this one creates.
func (t *Transaction) Conflict() error {
	seen := map[rowKey]bool{}
	for _, c := range t.changes {
		key := rowKey{c.Table, c.Key}
		if c.Columns != nil {
			if _, ok := t.database.tables[c.Table]; ok {
				return NewError(CodeDuplicateName, "table \""+c.Table+"\" already exists")
			}
			continue
		}
		if seen[key] {
			continue
		}
		seen[key] = true
		current, ok := t.database.tables[c.Table]
		if !ok {
			continue
		}
		if !slices.Equal(current.rows[c.Key], c.Before) {
			return NewError(CodeSerialization, "could not serialize access due to concurrent update")
		}
	}
	return nil
}

// Run runs a Create, Insert, Select, Update or Delete. arguments are the values of the
// statement's parameters.
func (t *Transaction) Run(s Statement, arguments []any) (Result, error) {
	if t.readOnly && s.Writes() {
		return Result{}, NewError(CodeReadOnly, "cannot execute a write in a read-only transaction")
	}
	switch s.Verb {
	case Create:
		return t.create(s)
	case Insert:
		return t.insert(s, arguments)
	case Select:
		return t.selectRows(s, arguments)
	case Update, Delete:
		return t.modify(s, arguments)
	default:
		return Result{}, NewError(CodeSyntax, "statement can't run in a transaction")
	}
}

func (t *Transaction) table(name string) (*table, error) {
	if found, ok := t.temporary.tables[name]; ok {
		return found, nil
	}
	if found, ok := t.created[name]; ok {
		return found, nil
	}
	if found, ok := t.database.tables[name]; ok {
		return found, nil
	}
	return nil, NewError(CodeNoTable, "relation \""+name+"\" does not exist")
}

func (t *Transaction) create(s Statement) (Result, error) {
	result := Result{Tag: "CREATE TABLE"}
	if _, err := t.table(s.Table); err == nil {
		if s.IfNotExists {
			return result, nil
		}
		return result, NewError(CodeDuplicateName, "relation \""+s.Table+"\" already exists")
	}
	if s.Temporary {
		t.temporary.tables[s.Table] = newTable(s.Columns)
		return result, nil
	}
	t.created[s.Table] = newTable(s.Columns)
	t.changes = append(t.changes, Change{Table: s.Table, Columns: s.Columns})
	return result, nil
}

// row returns the newest row of a key that the transaction sees; nil if there is none.
func (t *Transaction) row(name string, source *table, key any) Row {
	if r, ok := t.rows[rowKey{name, key}]; ok {
		return r
	}
	return source.rows[key]
}

// write records the change of a row. In a temporary table it applies the change at once,
// which a rollback does not revert.
func (t *Transaction) write(name string, source *table, key any, before, after Row) {
	if _, ok := t.temporary.tables[name]; ok {
		source.put(key, after)
		return
	}
	t.rows[rowKey{name, key}] = after
	t.changes = append(t.changes, Change{Table: name, Key: key, Before: before, After: after})
}

func (t *Transaction) insert(s Statement, arguments []any) (Result, error) {
	target, err := t.table(s.Table)
	if err != nil {
		return Result{}, err
	}
	var inserted []Row
	for _, values := range s.Values {
		r, err := t.newRow(s, target, values, arguments)
		if err != nil {
			return Result{}, err
		}
		if t.row(s.Table, target, r[0]) != nil {
			return Result{}, NewError(CodeDuplicate, "duplicate key value violates unique constraint \""+s.Table+"_pkey\"")
		}
		t.write(s.Table, target, r[0], nil, r)
		inserted = append(inserted, r)
	}
	return selectColumns(target, s.Returning, inserted, "INSERT 0 "+strconv.Itoa(len(inserted)))
}

func (t *Transaction) newRow(s Statement, target *table, values []expression, arguments []any) (Row, error) {
	if len(values) != len(s.Names) {
		return nil, NewError(CodeSyntax, "INSERT has another number of expressions than target columns")
	}
	r := make(Row, len(target.columns))
	for i, name := range s.Names {
		index, err := target.column(name)
		if err != nil {
			return nil, err
		}
		if r[index], err = coerce(values[i].value(arguments), target.columns[index]); err != nil {
			return nil, err
		}
	}
	for i, c := range target.columns {
		if c.Serial && r[i] == nil {
			target.lastSerial++
			r[i] = target.lastSerial
		}
	}
	return r, nil
}

func (t *Transaction) modify(s Statement, arguments []any) (Result, error) {
	target, rows, err := t.tableAndRows(s, arguments)
	if err != nil {
		return Result{}, err
	}
	var after []Row
	for _, r := range rows {
		if s.Verb == Delete {
			t.write(s.Table, target, r[0], r, nil)
			continue
		}
		changed, err := updatedRow(s, target, r, arguments)
		if err != nil {
			return Result{}, err
		}
		t.write(s.Table, target, r[0], r, changed)
		after = append(after, changed)
	}
	if s.Verb == Delete {
		return Result{Tag: "DELETE " + strconv.Itoa(len(rows))}, nil
	}
	return selectColumns(target, s.Returning, after, "UPDATE "+strconv.Itoa(len(rows)))
}

// updatedRow returns a copy of the row with the changes of an Update.
func updatedRow(s Statement, target *table, r Row, arguments []any) (Row, error) {
	changed := slices.Clone(r)
	for i, name := range s.Names {
		index, err := target.column(name)
		if err != nil {
			return nil, err
		}
		v, err := coerce(s.Assignments[i].value(arguments), target.columns[index])
		if err != nil {
			return nil, err
		}
		if n, ok := v.(int64); ok && s.Assignments[i].addsToOld {
			old, _ := changed[index].(int64)
			v = old + n
		}
		changed[index] = v
	}
	return changed, nil
}

func (t *Transaction) selectRows(s Statement, arguments []any) (Result, error) {
	target, rows, err := t.tableAndRows(s, arguments)
	if err != nil {
		return Result{}, err
	}
	if s.Names[0] == "count(*)" {
		return Result{Columns: []Column{{Name: "count"}}, Rows: []Row{{int64(len(rows))}}, Tag: "SELECT 1"}, nil
	}
	if s.OrderBy != "" {
		column, err := target.column(s.OrderBy)
		if err != nil {
			return Result{}, err
		}
		sortRows(rows, column)
	}
	if s.Limit >= 0 && len(rows) > s.Limit {
		rows = rows[:s.Limit]
	}
	return selectColumns(target, s.Names, rows, "SELECT "+strconv.Itoa(len(rows)))
}

// tableAndRows returns the table of a statement and the rows that match its conditions.
func (t *Transaction) tableAndRows(s Statement, arguments []any) (*table, []Row, error) {
	target, err := t.table(s.Table)
	if err != nil {
		return nil, nil, err
	}
	rows, err := t.matchingRows(s, target, arguments)
	return target, rows, err
}

// matchingRows returns the rows that satisfy all conditions of a statement. With a condition
// on the key it looks up one row, otherwise it reads the whole table.
func (t *Transaction) matchingRows(s Statement, target *table, arguments []any) ([]Row, error) {
	indexes := make([]int, len(s.Where))
	wanted := make([]any, len(s.Where))
	for i, c := range s.Where {
		column, err := target.column(c.column)
		if err != nil {
			return nil, err
		}
		indexes[i] = column
		if wanted[i], err = coerce(c.value.value(arguments), target.columns[column]); err != nil {
			return nil, err
		}
	}
	var rows []Row
	addIfMatching := func(key any) {
		r := t.row(s.Table, target, key)
		if r == nil {
			return
		}
		for i, column := range indexes {
			if r[column] != wanted[i] {
				return
			}
		}
		rows = append(rows, r)
	}
	if i := slices.Index(indexes, 0); i >= 0 {
		addIfMatching(wanted[i])
		return rows, nil
	}
	for _, key := range target.keys {
		addIfMatching(key)
	}
	for _, c := range t.changes {
		if c.Table == s.Table && c.Before == nil && c.After != nil && target.rows[c.Key] == nil {
			addIfMatching(c.Key)
		}
	}
	return rows, nil
}

// value returns the constant, or the argument for the parameter; nil if arguments has none.
func (e expression) value(arguments []any) any {
	if e.parameter == 0 {
		return e.constant
	}
	if e.parameter > len(arguments) {
		return nil
	}
	return arguments[e.parameter-1]
}

// Value returns the value of the i-th argument of a Call, or of a Set with i = 0; nil if
// there is none. arguments are the values of the statement's parameters.
func (s Statement) Value(i int, arguments []any) any {
	if i >= len(s.Arguments) {
		return nil
	}
	return s.Arguments[i].value(arguments)
}
