package questionnaire

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/fescuestep/fescuestep/pkg/suggest"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}$`)
	routePattern  = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{0,63}$`)
	// A field of the body's outermost object: the idempotency filter doesn't
	// look into nested ones.
	fieldPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)
)

// patterns are the validator tags for texts of a certain form and how the
// form is described to the reader.
var patterns = map[string]struct {
	pattern *regexp.Regexp
	form    string
}{
	"name":   {namePattern, "small letters, digits and dashes"},
	"model":  {modelPattern, "letters, digits and . _ : / @ -"},
	"route":  {routePattern, "a path that starts with / and has only letters, digits and . _ ~ / -"},
	"header": {headerPattern, "a header name such as X-Order-Number"},
	"field":  {fieldPattern, "the name of a field of the outermost object, such as order_number"},
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	for tag, p := range patterns {
		// The error is only returned for an empty tag or a nil function.
		_ = v.RegisterValidation(tag, func(fl validator.FieldLevel) bool {
			return p.pattern.MatchString(fl.Field().String())
		})
	}
	return v
}

// Check returns all mistakes in the text in reading order, at most 200. An
// empty result means that Build succeeds.
func Check(text []byte) []Mistake {
	_, mistakes := check(text)
	return mistakes
}

func check(text []byte) (*Questionnaire, []Mistake) {
	q, d := parse(text)
	if !d.unreadable {
		d.examine(q)
	}
	return q, d.sorted()
}

// examine reports mistakes in the meaning of answers that could be decoded.
func (d *decoder) examine(q *Questionnaire) {
	d.constraints(q)
	d.references(q)
	d.meaning(q)
}

// constraints reports violations of the validate tags of the schema.
func (d *decoder) constraints(q *Questionnaire) {
	var violations validator.ValidationErrors
	if !errors.As(validate.Struct(q), &violations) {
		return
	}
	for _, v := range violations {
		path := strings.TrimPrefix(v.Namespace(), "Questionnaire.")
		message, suggestion := describe(v)
		d.addChecked(path, message, suggestion)
	}
}

// describe words a violation for a reader who doesn't know the schema's tags.
func describe(v validator.FieldError) (message, suggestion string) {
	if p, ok := patterns[v.Tag()]; ok {
		if v.Tag() == "name" {
			suggestion = suggest.DidYouMean(asName(fmt.Sprint(v.Value())))
		}
		return fmt.Sprintf("%q is not allowed here; write %s", v.Value(), p.form), suggestion
	}
	switch v.Tag() {
	case "required":
		return "an answer is required", ""
	case "oneof":
		known := strings.Fields(v.Param())
		return fmt.Sprintf("%q is not one of %s", v.Value(), strings.Join(known, ", ")), suggest.DidYouMean(suggest.Closest(fmt.Sprint(v.Value()), known))
	case "gt":
		return "must be greater than " + v.Param(), ""
	}
	return describeBound(v), ""
}

func describeBound(v validator.FieldError) string {
	word := map[string]string{"min": "at least", "max": "at most"}[v.Tag()]
	switch v.Kind() {
	case reflect.Slice:
		return fmt.Sprintf("needs %s %s entries", word, v.Param())
	case reflect.String:
		return fmt.Sprintf("must be %s %s characters long", word, v.Param())
	}
	return fmt.Sprintf("must be %s %s, got %v", word, v.Param(), v.Value())
}
