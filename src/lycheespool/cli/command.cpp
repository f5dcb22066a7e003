#include "lycheespool/cli/fwd.h"

namespace lycheespool {

int runCommand(int, char**) { return 0; }

}
