package strictxml

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// The patterns of a range match exactly the numbers in the range.
func TestRangePatterns(t *testing.T) {
	for _, r := range [][2]int64{{0, 0}, {0, 9}, {0, 10}, {1, 99}, {7, 7}, {100, 3600}, {16, 1048576 / 999}, {199, 2001}, {86, 1100}} {
		re := regexp.MustCompile("^(" + strings.Join(rangePatterns(r[0], r[1]), "|") + ")$")
		for n := int64(0); n < 3*r[1]+20; n++ {
			if in := n >= r[0] && n <= r[1]; re.MatchString(strconv.FormatInt(n, 10)) != in {
				t.Fatalf("%d in %v: pattern %s gives the wrong result", n, r, re)
			}
		}
	}
}
