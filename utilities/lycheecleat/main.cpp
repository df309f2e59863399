/** The command-line tool for operators. */
auto main() -> int
{
    return 0;
}
