package strictxml

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Parse reads a value and reports whether it is allowed. A number has no sign and no leading zeros and is followed by
// its unit, as in 250ms, 7d or 256KiB. For texts the number returned is 0.
func (v *Values) Parse(text string) (int64, bool) {
	if v.text != nil {
		return 0, v.text.MatchString(text)
	}
	for i, w := range v.words {
		if w == text {
			return int64(i), true
		}
	}
	digits := len(text) - len(strings.TrimLeft(text, "0123456789"))
	number, name := text[:digits], text[digits:]
	if digits == 0 || digits > 1 && number[0] == '0' {
		return 0, false
	}
	for _, u := range v.units {
		if u.name != name {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil || n > math.MaxInt64/u.size {
			return 0, false
		}
		return n * u.size, n*u.size >= v.lo && n*u.size <= v.hi
	}
	return 0, false
}

// String describes the allowed values, for messages and for the schema.
func (v *Values) String() string {
	if v.text != nil {
		return v.description
	}
	if len(v.words) > 0 {
		return strings.Join(v.words, ", ")
	}
	names := make([]string, len(v.units))
	for i, u := range v.units {
		names[i] = u.name
	}
	if len(names) == 1 && names[0] == "" {
		return fmt.Sprintf("a whole number from %d to %d", v.lo, v.hi)
	}
	return fmt.Sprintf("%s to %s, as a whole number and one of %s", v.format(v.lo), v.format(v.hi), strings.Join(names, ", "))
}

// format formats n with the largest unit that divides it.
func (v *Values) format(n int64) string {
	for i := len(v.units) - 1; i >= 0; i-- {
		if u := v.units[i]; n%u.size == 0 && n >= u.size {
			return strconv.FormatInt(n/u.size, 10) + u.name
		}
	}
	return "0" + v.units[0].name
}

// pattern returns a regular expression of XML Schema that matches exactly what Parse accepts. Such expressions are
// anchored (XML Schema Part 2, appendix F).
func (v *Values) pattern() string {
	if v.text != nil {
		return strings.TrimSuffix(strings.TrimPrefix(v.text.String(), "^("), ")$")
	}
	var alternatives []string
	for _, u := range v.units {
		lo, hi := (v.lo+u.size-1)/u.size, v.hi/u.size
		if lo > hi {
			continue
		}
		alternatives = append(alternatives, "("+strings.Join(rangePatterns(lo, hi), "|")+")"+u.name)
	}
	return strings.Join(alternatives, "|")
}

// rangePatterns returns patterns that together match exactly the decimal numbers from lo to hi.
func rangePatterns(lo, hi int64) []string {
	var all []string
	for lo <= hi {
		text := strconv.FormatInt(lo, 10)
		end := int64(math.Pow10(len(text))) - 1 // the largest number with as many digits as lo
		if end > hi || end < lo {
			end = hi
		}
		all = append(all, sameLength(text, strconv.FormatInt(end, 10))...)
		if end == hi {
			break
		}
		lo = end + 1
	}
	return all
}

// sameLength returns the patterns of rangePatterns for a lo and a hi with equally many digits.
func sameLength(lo, hi string) []string {
	switch {
	case lo == hi:
		return []string{lo}
	case len(lo) == 1:
		return []string{"[" + lo + "-" + hi + "]"}
	case lo[0] == hi[0]:
		return withPrefix(lo[:1], sameLength(lo[1:], hi[1:]))
	}
	rest := len(lo) - 1
	zeros, nines := strings.Repeat("0", rest), strings.Repeat("9", rest)
	first, last := lo[0], hi[0]
	var all, tail []string
	if lo[1:] != zeros {
		all = withPrefix(lo[:1], sameLength(lo[1:], nines))
		first++
	}
	if hi[1:] != nines {
		tail = withPrefix(hi[:1], sameLength(zeros, hi[1:]))
		last--
	}
	if first <= last {
		all = append(all, fmt.Sprintf("[%c-%c][0-9]{%d}", first, last, rest))
	}
	return append(all, tail...)
}

func withPrefix(prefix string, list []string) []string {
	for i := range list {
		list[i] = prefix + list[i]
	}
	return list
}
