// Command chicoryctl is described in the README.
package main

func main() {}
