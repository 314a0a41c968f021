package platform

import (
	"errors"
	"fmt"
	"regexp"
)

var errUnexpectedEnd = errors.New("unexpected end of expression")

var tokenPattern = regexp.MustCompile(`\s*(<>|[=()]|[:#]?[A-Za-z_][A-Za-z0-9_]*)`)

// conditionParser reads the part of the expression language that conditional writes need: =, <>, AND, OR, NOT,
// parentheses, attribute_exists and attribute_not_exists.
type conditionParser struct {
	tokens []string
	names  map[string]string
	values map[string]value
}

type predicate = func(item) bool

// operand yields the value of an attribute or of a placeholder; false if the attribute doesn't exist.
type operand func(item) (value, bool)

func parseCondition(expression string, names map[string]string, values map[string]value) (predicate, error) {
	if expression == "" {
		return func(item) bool { return true }, nil
	}
	tokens, err := tokenize(expression)
	if err != nil {
		return nil, err
	}
	p := &conditionParser{tokens: tokens, names: names, values: values}
	result, err := p.or()
	if err != nil {
		return nil, err
	}
	if len(p.tokens) > 0 {
		return nil, fmt.Errorf("unexpected %q", p.tokens[0])
	}
	return result, nil
}

func tokenize(expression string) ([]string, error) {
	var tokens []string
	for len(expression) > 0 {
		m := tokenPattern.FindStringSubmatchIndex(expression)
		if m == nil || m[0] != 0 {
			return nil, fmt.Errorf("unexpected %q", expression)
		}
		tokens = append(tokens, expression[m[2]:m[3]])
		expression = expression[m[1]:]
	}
	return tokens, nil
}

func (p *conditionParser) next() (string, error) {
	if len(p.tokens) == 0 {
		return "", errUnexpectedEnd
	}
	token := p.tokens[0]
	p.tokens = p.tokens[1:]
	return token, nil
}

func (p *conditionParser) accept(token string) bool {
	if len(p.tokens) == 0 || p.tokens[0] != token {
		return false
	}
	p.tokens = p.tokens[1:]
	return true
}

func (p *conditionParser) expect(token string) error {
	if !p.accept(token) {
		return fmt.Errorf("%q is missing", token)
	}
	return nil
}

func (p *conditionParser) or() (predicate, error) {
	left, err := p.and()
	for err == nil && p.accept("OR") {
		a := left
		var b predicate
		b, err = p.and()
		left = func(it item) bool { return a(it) || b(it) }
	}
	return left, err
}

func (p *conditionParser) and() (predicate, error) {
	left, err := p.unary()
	for err == nil && p.accept("AND") {
		a := left
		var b predicate
		b, err = p.unary()
		left = func(it item) bool { return a(it) && b(it) }
	}
	return left, err
}

func (p *conditionParser) unary() (predicate, error) {
	if p.accept("NOT") {
		inner, err := p.unary()
		return func(it item) bool { return !inner(it) }, err
	}
	if p.accept("(") {
		inner, err := p.or()
		if err != nil {
			return nil, err
		}
		return inner, p.expect(")")
	}
	if p.accept("attribute_exists") {
		return p.exists(true)
	}
	if p.accept("attribute_not_exists") {
		return p.exists(false)
	}
	return p.comparison()
}

func (p *conditionParser) exists(want bool) (predicate, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	attribute, err := p.operand()
	if err != nil {
		return nil, err
	}
	holds := func(it item) bool {
		_, ok := attribute(it)
		return ok == want
	}
	return holds, p.expect(")")
}

func (p *conditionParser) comparison() (predicate, error) {
	left, err := p.operand()
	if err != nil {
		return nil, err
	}
	operator, err := p.next()
	if err != nil {
		return nil, err
	}
	if operator != "=" && operator != "<>" {
		return nil, fmt.Errorf("unexpected %q", operator)
	}
	right, err := p.operand()
	if err != nil {
		return nil, err
	}
	return func(it item) bool {
		a, okA := left(it)
		b, okB := right(it)
		equal := okA && okB && a.equal(b)
		return equal == (operator == "=")
	}, nil
}

func (p *conditionParser) operand() (operand, error) {
	token, err := p.next()
	if err != nil {
		return nil, err
	}
	switch token[0] {
	case ':':
		v, ok := p.values[token]
		if !ok {
			return nil, fmt.Errorf("the value %s is not defined", token)
		}
		return func(item) (value, bool) { return v, true }, nil
	case '#':
		name, ok := p.names[token]
		if !ok {
			return nil, fmt.Errorf("the name %s is not defined", token)
		}
		token = name
	}
	return func(it item) (value, bool) {
		v, ok := it[token]
		return v, ok
	}, nil
}
