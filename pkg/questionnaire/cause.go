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

// cause is the reason for the value of a setting.
type cause struct {
	// answer is the path of the answer that determined the setting. It is empty if there is none.
	answer string
	// text is the comment that is written next to the setting.
	text string
}

// generator builds the configuration and records the causes of its settings.
type generator struct {
	check.Checker
	answers    *Answers
	index      *jsonc.Index
	config     config.Config
	causes     map[string]cause
	unanswered []Unanswered
}

// recordAnswer records that a setting was taken from an answer.
func (g *generator) recordAnswer(setting, answer string) {
	g.causes[setting] = cause{answer: answer, text: g.displayPath(answer)}
}

// recordAnswerWithNote records that a setting was derived from an answer, with a note that says how.
func (g *generator) recordAnswerWithNote(setting, answer, note string) {
	g.causes[setting] = cause{answer: answer, text: g.displayPath(answer) + ": " + note}
}

// recordReason records the reason for a setting that doesn't depend on an answer.
func (g *generator) recordReason(setting, reason string) {
	g.causes[setting] = cause{text: reason}
}

// recordAssumption records an unanswered question and the value that is assumed for it.
func (g *generator) recordAssumption(setting, answer, value, reason string) {
	question := g.displayPath(answer)
	g.causes[setting] = cause{answer: answer, text: "unanswered: " + question + "; assumed, since " + reason}
	g.unanswered = append(g.unanswered, Unanswered{Question: question, Assumed: value + ", since " + reason})
}

// answerOrSafe returns the answer if it was given. Otherwise it returns the safe value and records the question as
// unanswered.
func answerOrSafe[T any](g *generator, setting, answer string, given *T, safe T, reason string) T {
	if given != nil {
		g.recordAnswer(setting, answer)
		return *given
	}
	g.recordAssumption(setting, answer, encodeInline(safe), reason)
	return safe
}

// answerOrDerived returns the answer if it was given, or else the derived value. Its questions are optional and are not
// listed as unanswered.
func answerOrDerived[T any](g *generator, setting, answer string, given *T, derived T, reason string) T {
	if given != nil {
		g.recordAnswer(setting, answer)
		return *given
	}
	g.causes[setting] = cause{answer: answer, text: "derived: " + reason + "; " + g.displayPath(answer) + " replaces it"}
	return derived
}

var servicePath = regexp.MustCompile(`^services\[(\d+)\](?:\.requests\[(\d+)\])?`)

// displayPath replaces the indexes of services and requests in a path by their names, so that the comments don't change
// when an earlier service or request is removed.
func (g *generator) displayPath(path string) string {
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

// mapFindings adds findings about the configuration as findings about the answers that determined the settings.
func (g *generator) mapFindings(list finding.List) {
	for _, f := range list {
		f.Path = g.answerOf(f.Path)
		if !g.hasError(f.Path) {
			g.Findings.Add(f)
		}
	}
}

// hasError reports whether an error has already been found for the answer at the path.
func (g *generator) hasError(path string) bool {
	for _, f := range g.Findings {
		if f.Path == path && f.Severity == finding.Error {
			return true
		}
	}
	return false
}

// answerOf returns the path of the answer that determined a setting. If the setting has none, it takes the answer of the
// nearest enclosing setting and appends the rest of the path. It returns the path of the setting if no answer is found.
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
