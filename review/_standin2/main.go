// Command review2 runs one case of the second review. Usage: review2 CASE FOLDER. It exits with 1 if the rule was broken, with 0 if it held
// and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
)

// cases maps the names of the cases to their functions. A case returns whether its rule was broken. trouble is false with TROUBLE=0.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"dark":   runDark,
	"owner":  runOwner,
	"poison": runPoison,
	"stop":   runStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER, with CASE one of", strings.Join(names, ", "))
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(w *world, trouble bool) (bool, error), folder string, trouble bool) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	w.note("trouble: %v", trouble)
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		w.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		w.note("result: the rule was broken")
		return 1
	}
	w.note("result: the rule held")
	return 0
}
