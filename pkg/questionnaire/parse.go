package questionnaire

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/fescuestep/fescuestep/pkg/suggest"
)

// Bounds on a questionnaire. 1,600 customers with three teams each take 230 KB
// and 13,000 lines. The YAML parser's time grows with the square of the number
// of fields in one mapping, which the bound on lines and braces limits.
const (
	MaxBytes    = 1 << 20
	maxEntries  = 30_000 // lines, and braces and commas on a line
	maxDepth    = 200    // keeps the parser's recursion small; the count includes comments, so it is far above the 7 levels of the schema
	maxMistakes = 200    // reported at once
)

type position struct{ line, column int }

// decoder fills a Questionnaire from the syntax tree, records where each field
// stands and collects mistakes instead of stopping at the first one.
type decoder struct {
	positions  map[string]position // by field path, for example customers[0].rate
	mistakes   []Mistake
	unreadable bool            // there is no syntax tree to examine
	bad        map[string]bool // paths of fields whose value could not be decoded
	incomplete map[string]bool // paths of mappings with an unknown field
}

// Parse reads the text and returns the answers and all mistakes in its form:
// syntax, unknown fields, fields given twice, and values of the wrong type.
// Check also examines the meaning.
func Parse(text []byte) (*Questionnaire, []Mistake) {
	q, d := parse(text)
	return q, d.sorted()
}

func parse(text []byte) (*Questionnaire, *decoder) {
	q := &Questionnaire{}
	d := &decoder{
		positions:  map[string]position{"": {1, 1}},
		bad:        map[string]bool{},
		incomplete: map[string]bool{},
	}
	if body := d.tree(text); body != nil {
		d.value("", body, reflect.ValueOf(q).Elem())
	}
	d.unreadable = d.unreadable || d.bad[""]
	return q, d
}

// tree returns the syntax tree, or nil after a mistake that hides the rest.
func (d *decoder) tree(text []byte) ast.Node {
	d.unreadable = true
	if m := unreadable(text); m != "" {
		d.add("", m, "")
		return nil
	}
	body, err := parseTree(text)
	if err != nil {
		d.syntaxError(err)
		return nil
	}
	if body == nil {
		d.add("", "the questionnaire is empty", "start from examples/ucab.yaml")
		return nil
	}
	d.unreadable = false
	return body
}

func unreadable(text []byte) string {
	switch {
	case len(text) > MaxBytes:
		return fmt.Sprintf("the questionnaire is larger than %d bytes", MaxBytes)
	case !utf8.Valid(text):
		return "the questionnaire is not UTF-8 text"
	case bytes.ContainsRune(text, 0):
		return "the questionnaire contains a zero byte"
	case entries(text) > maxEntries:
		return fmt.Sprintf("the questionnaire has more than %d lines and entries", maxEntries)
	case flowDepth(text) > maxDepth || indentDepth(text) > maxDepth:
		return fmt.Sprintf("the questionnaire nests more than %d levels", maxDepth)
	}
	return ""
}

func entries(text []byte) int {
	return bytes.Count(text, []byte("\n")) + bytes.Count(text, []byte("{")) + bytes.Count(text, []byte(","))
}

// flowDepth returns an upper bound of the nesting of brackets and braces.
func flowDepth(text []byte) int {
	depth, deepest := 0, 0
	for _, c := range text {
		switch c {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth = max(depth-1, 0)
		}
	}
	return deepest
}

// indentDepth returns the largest number of sequence markers that open one
// line, which nest without any indentation.
func indentDepth(text []byte) int {
	deepest := 0
	for line := range bytes.Lines(text) {
		deepest = max(deepest, bytes.Count(line, []byte("- ")), bytes.Count(line, []byte("? ")))
	}
	return deepest
}

// parseTree returns the body of the only document. The YAML library panics on
// some malformed inputs; that is reported as a syntax error.
func parseTree(text []byte) (body ast.Node, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("not valid YAML: %v", r)
		}
	}()
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, err
	}
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, errors.New("the file holds more than one YAML document")
		}
		body = doc.Body
	}
	return body, nil
}

func (d *decoder) syntaxError(err error) {
	var y yaml.Error
	if errors.As(err, &y) {
		at := at(y.GetToken())
		d.mistakes = append(d.mistakes, Mistake{Line: at.line, Column: at.column, Message: "not valid YAML: " + y.GetMessage()})
		return
	}
	d.add("", err.Error(), "")
}

// value decodes node into v. It dispatches on the type that the schema wants.
func (d *decoder) value(path string, node ast.Node, v reflect.Value) {
	if _, ok := d.positions[path]; !ok {
		d.positions[path] = at(firstToken(node))
	}
	switch node.Type() {
	case ast.NullType:
		return
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		d.addBad(path, "anchors, aliases and tags are not allowed", "write the value out")
		return
	}
	switch {
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(path, node, v.Elem())
	case v.Kind() == reflect.Struct:
		d.mapping(path, node, v)
	case v.Kind() == reflect.Slice:
		d.sequence(path, node, v)
	default:
		d.scalar(path, node, v)
	}
}

// firstToken returns the first key of a mapping, whose own token is a colon.
func firstToken(node ast.Node) *token.Token {
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return n.Values[0].Key.GetToken()
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken()
	}
	return node.GetToken()
}

func (d *decoder) mapping(path string, node ast.Node, v reflect.Value) {
	var pairs []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		d.addBad(path, "expects fields such as "+fieldNames(v.Type())[0]+": ...", "")
		return
	}
	fields := fieldIndex(v.Type())
	seen := map[string]bool{}
	for _, pair := range pairs {
		d.pair(path, pair, v, fields, seen)
	}
}

func (d *decoder) pair(path string, pair *ast.MappingValueNode, v reflect.Value, fields map[string]int, seen map[string]bool) {
	name := pair.Key.String()
	if tk := pair.Key.GetToken(); tk != nil {
		name = tk.Value
	}
	where := at(pair.Key.GetToken())
	index, known := fields[name]
	switch {
	case !known:
		d.incomplete[path] = true
		d.addAt(where, join(path, name), fmt.Sprintf("unknown field %q", name), suggest.DidYouMean(suggest.Closest(name, fieldNames(v.Type()))))
		return
	case seen[name]:
		d.addAt(where, join(path, name), fmt.Sprintf("field %q is given twice", name), "keep one of them")
		return
	}
	seen[name] = true
	d.positions[join(path, name)] = where
	d.value(join(path, name), pair.Value, v.Field(index))
}

func (d *decoder) sequence(path string, node ast.Node, v reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addBad(path, "expects a list", "write each entry on its own line after a dash")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, entry := range list.Values {
		d.value(fmt.Sprintf("%s[%d]", path, i), entry, v.Index(i))
	}
}

func (d *decoder) scalar(path string, node ast.Node, v reflect.Value) {
	if _, ok := node.(ast.ScalarNode); !ok {
		d.addBad(path, "expects "+wanted(v), "")
		return
	}
	var err error
	switch target := v.Addr().Interface().(type) {
	case *YesNo:
		err = parseYesNo(node.GetToken().Value, target)
	case *time.Duration:
		*target, err = time.ParseDuration(node.GetToken().Value)
	default:
		err = yaml.NodeToValue(node, target)
	}
	if err != nil {
		d.addBad(path, fmt.Sprintf("expects %s, got %q", wanted(v), node.GetToken().Value), "")
	}
}

func parseYesNo(text string, target *YesNo) error {
	switch strings.ToLower(text) {
	case "yes", "true":
		*target = true
	case "no", "false":
		*target = false
	default:
		return errors.New("neither yes nor no")
	}
	return nil
}

// wanted describes the type of a scalar in the reader's terms.
func wanted(v reflect.Value) string {
	switch v.Interface().(type) {
	case YesNo:
		return "yes or no"
	case time.Duration:
		return "a time such as 500us, 20ms or 30s"
	case string:
		return "a text"
	case int:
		return "a whole number"
	}
	return "a number"
}

func fieldIndex(t reflect.Type) map[string]int {
	index := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		index[t.Field(i).Tag.Get("yaml")] = i
	}
	return index
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("yaml")
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func at(tk *token.Token) position {
	if tk == nil || tk.Position == nil {
		return position{1, 1}
	}
	return position{max(tk.Position.Line, 1), max(tk.Position.Column, 1)}
}
