// Package explore is a model checker for the controllers and the apportioner of package
// authority. It searches breadth first through the states of a small deployment, with
// every order in which messages, lease expiries, restarts and losses can occur, up to a
// depth or a number of states. It runs the same code as a node; only the environment is
// simulated.
//
// In every state it checks that no model has more replicas than decided and that no
// machine's memory is overcommitted. Deliberately broken environments (Variant) show that
// the checks can fail.
package explore
