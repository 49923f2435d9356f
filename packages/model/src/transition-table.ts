/** A table of named states; `check` is what every change of state goes through. */
export class TransitionTable<S extends string> {
  constructor(
    private readonly subject: string,
    private readonly allowed: Readonly<Record<S, readonly S[]>>,
  ) {}

  assertAllowed(from: S, to: S): void {
    if (!this.allowed[from].includes(to))
      throw new Error(`${this.subject}: ${from} -> ${to} is no transition`);
  }
}
