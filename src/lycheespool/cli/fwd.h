#pragma once

namespace lycheespool {

int runCommand(int argc, char** argv);

}
