package questionnaire

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/check"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
)

// cause says why a setting has its value.
type cause struct {
	// answer is the path of the answer; empty if no answer was involved.
	answer string
	// text is the comment.
	text string
}

// generator collects the configuration with the causes of its settings.
type generator struct {
	check.Checker
	answers    *Answers
	index      *jsonc.Index
	config     config.Config
	causes     map[string]cause
	unanswered []Unanswered
}

// from records that an answer caused a setting.
func (g *generator) from(setting, answer string) {
	g.causes[setting] = cause{answer: answer, text: g.shown(answer)}
}

// fromNote records an answer together with how the setting was derived from it.
func (g *generator) fromNote(setting, answer, note string) {
	g.causes[setting] = cause{answer: answer, text: g.shown(answer) + ": " + note}
}

// because records a setting that no answer caused.
func (g *generator) because(setting, reason string) {
	g.causes[setting] = cause{text: reason}
}

// assume records an unanswered question.
func (g *generator) assume(setting, answer, value, reason string) {
	shown := g.shown(answer)
	g.causes[setting] = cause{answer: answer, text: "unanswered: " + shown + "; assumed, since " + reason}
	g.unanswered = append(g.unanswered, Unanswered{Question: shown, Assumed: value + ", since " + reason})
}

// choose returns the answer, or the safe value and records the question as unanswered.
func choose[T any](g *generator, setting, answer string, given *T, safe T, reason string) T {
	if given != nil {
		g.from(setting, answer)
		return *given
	}
	g.assume(setting, answer, show(safe), reason)
	return safe
}

// derive returns the answer, or a derived value. Such questions need no answer and aren't listed.
func derive[T any](g *generator, setting, answer string, given *T, derived T, reason string) T {
	if given != nil {
		g.from(setting, answer)
		return *given
	}
	g.causes[setting] = cause{answer: answer, text: "derived: " + reason + "; " + g.shown(answer) + " replaces it"}
	return derived
}

var servicePath = regexp.MustCompile(`^services\[(\d+)\](?:\.requests\[(\d+)\])?`)

// shown replaces the indexes of services and requests in a path by their names, so that the comments stay the same when an
// earlier one is removed.
func (g *generator) shown(path string) string {
	m := servicePath.FindStringSubmatchIndex(path)
	if m == nil {
		return path
	}
	i, err := strconv.Atoi(path[m[2]:m[3]])
	if err != nil {
		return path
	}
	s := &g.answers.Services[i]
	text := "services[" + s.Name + "]"
	if m[4] >= 0 {
		j, err := strconv.Atoi(path[m[4]:m[5]])
		if err != nil {
			return path
		}
		text += ".requests[" + s.Requests[j].Name + "]"
	}
	return text + path[m[1]:]
}

// mapFindings turns findings about the configuration into findings about the answers that caused it.
func (g *generator) mapFindings(list finding.List) {
	for _, f := range list {
		f.Path = g.answerOf(f.Path)
		if !g.reported(f.Path) {
			g.Findings.Add(f)
		}
	}
}

// reported tells whether a contradiction at the same answer has been found already.
func (g *generator) reported(path string) bool {
	for _, f := range g.Findings {
		if f.Path == path && f.Severity == finding.Error {
			return true
		}
	}
	return false
}

// answerOf returns the answer behind a setting or behind the nearest enclosing one.
func (g *generator) answerOf(setting string) string {
	rest := ""
	for path := setting; ; {
		if c, ok := g.causes[path]; ok && c.answer != "" {
			return c.answer + rest
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return setting
		}
		rest = path[i:] + rest
		path = path[:i]
	}
}
