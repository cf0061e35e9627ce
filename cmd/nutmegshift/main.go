// Command nutmegshift runs an entry host and the operators' tools.
package main

func main() {}
