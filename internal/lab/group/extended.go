package group

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"eelgrassladder.example/eelgrassladder/internal/lab/sql"
)

// extendedQuery answers one message of the extended query protocol.
func (p *session) extendedQuery(ctx context.Context, received pgproto3.FrontendMessage) error {
	switch m := received.(type) {
	case *pgproto3.Parse:
		return p.parse(m)
	case *pgproto3.Bind:
		return p.bind(m)
	case *pgproto3.Describe:
		return p.describe(m)
	case *pgproto3.Execute:
		return p.executePortal(ctx, m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(p.prepared, m.Name)
		} else {
			delete(p.portals, m.Name)
		}
		p.backend.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (p *session) parse(m *pgproto3.Parse) error {
	statements, err := sql.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return sql.NewError(sql.CodeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if _, ok := p.prepared[m.Name]; ok && m.Name != "" {
		return sql.NewError("42P05", "prepared statement \""+m.Name+"\" already exists")
	}
	prepared := preparedStatement{types: append([]uint32(nil), m.ParameterOIDs...)}
	if len(statements) == 1 {
		prepared.statement = statements[0]
	}
	columns := p.parameterColumns(prepared.statement)
	for i := len(prepared.types); i < prepared.statement.Parameters; i++ {
		prepared.types = append(prepared.types, 0)
	}
	for i, t := range prepared.types {
		if t == 0 && i < len(columns) {
			prepared.types[i] = oid(columns[i])
		}
	}
	p.prepared[m.Name] = prepared
	p.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (p *session) bind(m *pgproto3.Bind) error {
	prepared, ok := p.prepared[m.PreparedStatement]
	if !ok {
		return sql.NewError("26000", "prepared statement \""+m.PreparedStatement+"\" does not exist")
	}
	if len(m.Parameters) != prepared.statement.Parameters {
		return sql.NewError("08P01", "bind message has another number of parameters than the statement")
	}
	arguments := make([]any, len(m.Parameters))
	for i, raw := range m.Parameters {
		v, err := decode(raw, prepared.types[i], format(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		arguments[i] = v
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	p.portals[m.DestinationPortal] = portal{preparedStatement: prepared, arguments: arguments, formats: formats}
	p.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (p *session) describe(m *pgproto3.Describe) error {
	var prepared preparedStatement
	var formats []int16
	var ok bool
	if m.ObjectType == 'S' {
		prepared, ok = p.prepared[m.Name]
	} else {
		var bound portal
		bound, ok = p.portals[m.Name]
		prepared, formats = bound.preparedStatement, bound.formats
	}
	if !ok {
		return sql.NewError("26000", "prepared statement or portal does not exist")
	}
	columns, err := p.columns(prepared.statement)
	if err != nil {
		return err
	}
	if m.ObjectType == 'S' {
		p.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: prepared.types})
	}
	if len(columns) == 0 {
		p.backend.Send(&pgproto3.NoData{})
		return nil
	}
	p.backend.Send(describe(columns, formats))
	return nil
}

// columns returns the columns of a statement's result.
func (p *session) columns(s sql.Statement) ([]sql.Column, error) {
	switch s.Verb {
	case sql.Select, sql.Insert, sql.Update, sql.Delete:
		p.member.mutex.Lock()
		defer p.member.mutex.Unlock()
		return p.describingTransaction().Describe(s)
	case sql.Show:
		return []sql.Column{{Name: s.Table, Text: true}}, nil
	case sql.Call:
		if s.Table == "pg_sleep" {
			return []sql.Column{{Name: "pg_sleep", Text: true}}, nil
		}
		if s.Table == "" {
			_, isText := s.Value(0, nil).(string)
			return []sql.Column{{Name: "?column?", Text: isText}}, nil
		}
		return progressColumns, nil
	default:
		return nil, nil
	}
}

// parameterColumns returns, for each parameter of a statement, a column of the type that
// the parameter has.
func (p *session) parameterColumns(s sql.Statement) []sql.Column {
	p.member.mutex.Lock()
	defer p.member.mutex.Unlock()
	return p.describingTransaction().ParameterColumns(s)
}

// describingTransaction returns the transaction in whose tables a statement is described:
// the open one, or a new one that only reads. The caller holds the mutex of the member.
func (p *session) describingTransaction() *sql.Transaction {
	if p.transaction != nil {
		return p.transaction
	}
	if p.implicit != nil {
		return p.implicit
	}
	return sql.NewTransaction(p.member.database, p.temporary, true)
}

func (p *session) executePortal(ctx context.Context, m *pgproto3.Execute) error {
	bound, ok := p.portals[m.Portal]
	if !ok {
		return sql.NewError("34000", "portal \""+m.Portal+"\" does not exist")
	}
	if bound.statement.Verb == sql.Empty {
		p.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	result, err := p.execute(ctx, bound.statement, bound.arguments)
	if err != nil {
		return err
	}
	p.sendRows(result, bound.formats)
	return nil
}

// describe returns the row description of columns with the format codes.
func describe(columns []sql.Column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, c := range columns {
		size := int16(8)
		if c.Text {
			size = -1 // of variable length
		}
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name: []byte(c.Name), DataTypeOID: oid(c), DataTypeSize: size, TypeModifier: -1, Format: format(formats, i),
		})
	}
	return description
}

// oid returns the type OID of a column.
func oid(c sql.Column) uint32 {
	if c.Text {
		return pgtype.TextOID
	}
	return pgtype.Int8OID
}

// format returns the format code of the value at an index. Without codes all values are
// text, and a single code is that of all values.
func format(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgtype.TextFormatCode
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return pgtype.TextFormatCode
	}
}

// encode returns an integer or a string in a format; nil, which stands for null, for any
// other value.
func encode(v any, format int16) []byte {
	switch x := v.(type) {
	case int64:
		if format == pgtype.BinaryFormatCode {
			return binary.BigEndian.AppendUint64(nil, uint64(x))
		}
		return strconv.AppendInt(nil, x, 10)
	case string:
		return []byte(x)
	default:
		return nil
	}
}

// decode decodes an argument. An integer in binary format becomes an int64, null nil and
// everything else a string.
func decode(raw []byte, oid uint32, format int16) (any, error) {
	if raw == nil {
		return nil, nil
	}
	isInteger := oid == pgtype.Int8OID || oid == pgtype.Int4OID || oid == pgtype.Int2OID
	if !isInteger || format == pgtype.TextFormatCode {
		return string(raw), nil
	}
	switch len(raw) {
	case 8:
		return int64(binary.BigEndian.Uint64(raw)), nil
	case 4:
		return int64(int32(binary.BigEndian.Uint32(raw))), nil
	case 2:
		return int64(int16(binary.BigEndian.Uint16(raw))), nil
	default:
		return nil, sql.NewError("22P03", "incorrect binary data format")
	}
}
