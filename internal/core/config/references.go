package config

import (
	"errors"
	"slices"
	"strconv"
)

// set decodes a value, checks its references in both directions and stores it.
func (s *State) set(path Path, value []byte) error {
	switch path.Kind {
	case KindTeam:
		team, err := DecodeTeam(path, value)
		if err != nil {
			return err
		}
		s.teams[path.Ref.Name] = team
		return nil
	case KindPool:
		return s.setPool(path, value)
	case KindRoute:
		return s.setRoute(path, value)
	default:
		return s.setAccount(path, value)
	}
}

// decoderWithProblems returns a decoder that starts with the problems in err, so
// that those of a value and those of its references are reported together.
func decoderWithProblems(path Path, err error) *decoder {
	d := &decoder{path: path.String()}
	var found *InvalidError
	if errors.As(err, &found) {
		d.problems = found.Problems
	}
	return d
}

func (s *State) setPool(path Path, value []byte) error {
	pool, err := DecodePool(path, value)
	d := decoderWithProblems(path, err)
	for _, ref := range s.routesOf(path.Ref) {
		if old := s.pools[path.Ref]; old.Kind != pool.Kind && !d.hasProblem("kind") {
			d.addProblem("kind", describe(string(pool.Kind)), strconv.Quote(string(old.Kind))+" while route "+ref.String()+" uses the pool")
		}
	}
	if err := d.err(); err != nil {
		return err
	}
	s.pools[path.Ref] = pool
	return nil
}

func (s *State) setRoute(path Path, value []byte) error {
	route, err := DecodeRoute(path, value)
	d := decoderWithProblems(path, err)
	pool, ok := s.pools[Ref{Team: path.Ref.Team, Name: route.Pool}]
	switch {
	case d.hasProblem("pool"):
	case !ok:
		d.addProblem("pool", describe(route.Pool), "a pool of team "+path.Ref.Team)
	case pool.Kind == PoolEngine:
		route = d.checkEngineRoute(route)
	default:
		d.checkServiceRoute(route)
	}
	if err := d.err(); err != nil {
		return err
	}
	s.routes[path.Ref] = route
	return nil
}

func (d *decoder) checkEngineRoute(route Route) Route {
	if route.Model == "" {
		d.addProblem("model", "nothing", "a model name, because the pool serves a model")
	}
	// Streams are not recorded in the ledger, so "never" could not be guaranteed.
	if route.Repeat == RepeatNever {
		d.addProblem("repeat", `"never"`, `"any", because the pool serves a model`)
	}
	route.Repeat = RepeatAny
	return route
}

func (d *decoder) checkServiceRoute(route Route) {
	if route.Model != "" {
		d.addProblem("model", describe(route.Model), "no value, because the pool is a service")
	}
	if route.Repeat == "" {
		d.addProblem("repeat", "nothing", `"any" or "never", because the pool is a service`)
	}
}

func (s *State) setAccount(path Path, value []byte) error {
	account, err := DecodeAccount(path, value)
	d := decoderWithProblems(path, err)
	for i, name := range account.Routes {
		if _, ok := s.routes[Ref{Team: path.Ref.Team, Name: name}]; !ok {
			d.addProblem("routes["+strconv.Itoa(i)+"]", describe(name), "a route of team "+path.Ref.Team)
		}
	}
	for i, key := range account.KeySHA256 {
		if owner, taken := s.keyOwner[key]; taken && owner != path.Ref {
			d.addProblem("key_sha256["+strconv.Itoa(i)+"]", "the hash of a key of another account", "a key of this account only")
		}
	}
	if err := d.err(); err != nil {
		return err
	}
	s.dropKeys(path.Ref)
	for _, key := range account.KeySHA256 {
		s.keyOwner[key] = path.Ref
	}
	s.accounts[path.Ref] = account
	return nil
}

func (s *State) dropKeys(account Ref) {
	for _, key := range s.accounts[account].KeySHA256 {
		delete(s.keyOwner, key)
	}
}

// remove deletes a value unless another value refers to it.
func (s *State) remove(path Path) error {
	var users []string
	switch path.Kind {
	case KindTeam:
		users = s.pathsOfTeam(path.Ref.Name)
	case KindPool:
		for _, ref := range s.routesOf(path.Ref) {
			users = append(users, Path{Kind: KindRoute, Ref: ref}.String())
		}
	case KindRoute:
		users = s.accountsOf(path.Ref)
	}
	if len(users) > 0 {
		return invalid(path.String(), "", "a deletion while "+users[0]+" refers to it", "no reference to it")
	}
	switch path.Kind {
	case KindTeam:
		delete(s.teams, path.Ref.Name)
	case KindPool:
		delete(s.pools, path.Ref)
	case KindRoute:
		delete(s.routes, path.Ref)
	case KindAccount:
		s.dropKeys(path.Ref)
		delete(s.accounts, path.Ref)
	}
	return nil
}

func (s *State) routesOf(pool Ref) []Ref {
	var refs []Ref
	for ref, route := range s.routes {
		if ref.Team == pool.Team && route.Pool == pool.Name {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

func (s *State) accountsOf(route Ref) []string {
	var paths []string
	for ref, account := range s.accounts {
		if ref.Team == route.Team && slices.Contains(account.Routes, route.Name) {
			paths = append(paths, Path{Kind: KindAccount, Ref: ref}.String())
		}
	}
	slices.Sort(paths)
	return paths
}

func (s *State) pathsOfTeam(team string) []string {
	var paths []string
	for text, e := range s.entries {
		if path, err := ParsePath(text); err == nil && e.value != nil && path.Ref.Team == team {
			paths = append(paths, text)
		}
	}
	slices.Sort(paths)
	return paths
}

func compareRefs(a, b Ref) int {
	switch {
	case a.String() < b.String():
		return -1
	case a.String() > b.String():
		return 1
	}
	return 0
}
