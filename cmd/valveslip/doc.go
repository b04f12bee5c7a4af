// Command valveslip is the whole program: the node and the tools around it.
package main
