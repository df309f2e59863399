/** The daemon of one entry host. */
auto main() -> int
{
    return 0;
}
