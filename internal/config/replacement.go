package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// This file compares a configuration file with the one that it replaces. Many keys have a default, for files that never
// state them; but a file that lacks a key which the file in force states was cut short, and its default would change
// what the sender does.

// optionalKeys are keys that a file may state or not. Those of the items of a list have "*" for the item.
var optionalKeys = []string{
	"settings.contract.settle_after_doubt",
	"settings.fees.fleet",
	"settings.services.*.aim_stretch",
	"settings.services.*.by_arrival",
	"settings.services.*.key_scope",   // required of the effect keyed alone, by the reader
	"settings.services.*.memory_span", // likewise
}

// nameKey is the key that identifies an item of a list, such as a class.
const nameKey = "name"

// countSuffix ends the key of a list's number of items.
const countSuffix = ".count"

// fileKeys are the keys that a file states under limits and settings. Items of a list are identified by their names, so
// that their order does not matter, and an item may be removed.
type fileKeys struct {
	plain map[string]bool // outside of lists
	lists map[string]listKeys
}

// listKeys are the keys of a list's items, by the items' names.
type listKeys map[string]itemKeys

// itemKeys has the position of an item in its list, and its keys.
type itemKeys struct {
	position int
	keys     map[string]bool
}

// newFileKeys collects the keys of path=value pairs as flatten makes them.
func newFileKeys(values map[string]string) fileKeys {
	k := fileKeys{plain: map[string]bool{}, lists: map[string]listKeys{}}
	for path := range values {
		if strings.HasSuffix(path, countSuffix) {
			k.lists[strings.TrimSuffix(path, countSuffix)] = listKeys{}
		}
	}
	for path := range values {
		list, position, key, inList := k.splitItem(path)
		switch {
		case inList:
			k.lists[list].add(values[itemPath(list, position, nameKey)], position, key)
		case !strings.HasSuffix(path, countSuffix):
			k.plain[path] = true
		}
	}
	return k
}

// splitItem splits the path of an item's key into the list, the item's position in it, and the key. A list within an item
// is a key of that item.
func (k fileKeys) splitItem(path string) (list string, position int, key string, ok bool) {
	for end := range path {
		if path[end] != '.' || k.lists[path[:end]] == nil {
			continue
		}
		item, key, hasKey := strings.Cut(path[end+1:], ".")
		if position, err := strconv.Atoi(item); hasKey && err == nil {
			return path[:end], position, key, true
		}
	}
	return "", 0, "", false
}

func itemPath(list string, position int, key string) string {
	return list + "." + strconv.Itoa(position) + "." + key
}

func (l listKeys) add(name string, position int, key string) {
	if l[name].keys == nil {
		l[name] = itemKeys{position, map[string]bool{}}
	}
	l[name].keys[key] = true
}

// CheckReplacement returns an error if the file of next lacks a key that the file of c, which it replaces, states.
func (c *Config) CheckReplacement(next *Config) error {
	missing := c.keys.missingIn(next.keys)
	if len(missing) == 0 {
		return nil
	}
	return fmt.Errorf("%s: missing, but stated by the configuration in force", missing[0])
}

// missingIn returns the paths of the keys that next lacks, in ascending order.
func (k fileKeys) missingIn(next fileKeys) (paths []string) {
	for path := range k.plain {
		_, isList := next.lists[path] // an empty list has no items that would show it
		if !next.plain[path] && !isList && !slices.Contains(optionalKeys, path) {
			paths = append(paths, path)
		}
	}
	for list, items := range k.lists {
		paths = append(paths, items.missingIn(list, next.lists[list])...)
	}
	slices.Sort(paths)
	return paths
}

// missingIn returns the paths of the keys that items of next lack: their names, and what the item of the same name has.
func (l listKeys) missingIn(list string, next listKeys) (paths []string) {
	_, namesOptional := l[""]
	for name, item := range next {
		if name == "" && !namesOptional {
			paths = append(paths, itemPath(list, item.position, nameKey))
			continue
		}
		for key := range l[name].keys {
			if !item.keys[key] && !slices.Contains(optionalKeys, list+".*."+key) {
				paths = append(paths, itemPath(list, item.position, key))
			}
		}
	}
	return paths
}
