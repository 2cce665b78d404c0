// The one program: a node, and the operators' commands.
#include <iostream>

int main() {
    std::cout << "skylarkseam " << SKYLARKSEAM_VERSION << '\n';
    return 0;
}
