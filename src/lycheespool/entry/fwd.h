#pragma once

namespace lycheespool {

class AgentDirectory;
class EntryProcess;
struct EntrySettings;

}
