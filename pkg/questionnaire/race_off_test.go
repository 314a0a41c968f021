//go:build !race

package questionnaire

const raceFactor = 1
