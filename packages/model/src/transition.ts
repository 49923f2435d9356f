/** A table of named states; `check` is what every change of state goes through. */
export class Transitions<S extends string> {
  constructor(
    private readonly what: string,
    private readonly table: Readonly<Record<S, readonly S[]>>,
  ) {}

  check(from: S, to: S): void {
    if (!this.table[from].includes(to)) throw new Error(`${this.what}: ${from} -> ${to} is no transition`);
  }
}
