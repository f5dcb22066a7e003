#include "lycheespool/cli/fwd.h"

int main(int argc, char** argv) { return lycheespool::runCommand(argc, argv); }
