package wire

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Field is one top-level field of a JSON body, its value as it came.
type Field struct {
	Name  string
	Value json.RawMessage
}

// Body is the JSON body of a call, split into its top-level fields so that one
// of them can be replaced without touching the rest.
type Body struct {
	Fields []Field
}

// ParseBody splits a JSON object. A field that stands twice is refused: this
// process and the backend server might each believe another one of the two.
// Error: chicoryrock.ErrInvalid.
func ParseBody(data []byte) (*Body, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := expectDelim(decoder, '{'); err != nil {
		return nil, err
	}
	body := &Body{}
	for decoder.More() {
		field, err := parseField(decoder)
		if err != nil {
			return nil, err
		}
		if body.Get(field.Name) != nil {
			return nil, errors.Wrapf(chicoryrock.ErrInvalid, "field %q stands twice", field.Name)
		}
		body.Fields = append(body.Fields, field)
	}
	if err := expectDelim(decoder, '}'); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(chicoryrock.ErrInvalid, "something follows the JSON object")
	}
	return body, nil
}

func parseField(decoder *json.Decoder) (Field, error) {
	token, err := decoder.Token()
	if err != nil {
		return Field{}, errors.Wrap(chicoryrock.ErrInvalid, "the body is not whole JSON")
	}
	name, isString := token.(string)
	if !isString {
		return Field{}, errors.Wrap(chicoryrock.ErrInvalid, "a field has no name")
	}
	field := Field{Name: name}
	if err := decoder.Decode(&field.Value); err != nil {
		return Field{}, errors.Wrapf(chicoryrock.ErrInvalid, "field %q is not whole JSON", name)
	}
	return field, nil
}

func expectDelim(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err != nil || token != want {
		return errors.Wrap(chicoryrock.ErrInvalid, "the body is not a JSON object")
	}
	return nil
}

// Get returns a field's value, or nil.
func (b *Body) Get(name string) json.RawMessage {
	for i := range b.Fields {
		if b.Fields[i].Name == name {
			return b.Fields[i].Value
		}
	}
	return nil
}

// Set replaces a field's value or appends the field.
func (b *Body) Set(name string, value json.RawMessage) {
	for i := range b.Fields {
		if b.Fields[i].Name == name {
			b.Fields[i].Value = value
			return
		}
	}
	b.Fields = append(b.Fields, Field{Name: name, Value: value})
}

// String returns a field that must be a string. Error: chicoryrock.ErrInvalid.
func (b *Body) String(name string) (string, error) {
	var text string
	if err := json.Unmarshal(b.Get(name), &text); err != nil || text == "" {
		return "", errors.Wrapf(chicoryrock.ErrInvalid, "field %q must be a string", name)
	}
	return text, nil
}

// Bool returns a field that may be absent or null, and must otherwise be a
// Boolean. Error: chicoryrock.ErrInvalid.
func (b *Body) Bool(name string) (bool, error) {
	value := b.Get(name)
	if value == nil {
		return false, nil
	}
	var flag bool
	if err := json.Unmarshal(value, &flag); err != nil {
		return false, errors.Wrapf(chicoryrock.ErrInvalid, "field %q must be true or false", name)
	}
	return flag, nil
}

// Bytes returns the body as JSON.
func (b *Body) Bytes() []byte {
	var buffer bytes.Buffer
	buffer.WriteByte('{')
	for i, field := range b.Fields {
		if i > 0 {
			buffer.WriteByte(',')
		}
		// A string always has a JSON form.
		name, _ := json.Marshal(field.Name)
		buffer.Write(name)
		buffer.WriteByte(':')
		buffer.Write(field.Value)
	}
	buffer.WriteByte('}')
	return buffer.Bytes()
}
