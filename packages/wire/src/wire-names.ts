/**
 * Two-way mapping between the values of an enumerated type and the names that the protocol gives them.
 *
 * @module
 */
import * as read from './json-fields.js';

/** The values of an enumerated type and their names in messages. Error messages list the names in the given order. */
export class WireNames<Value extends string> {
  private readonly values: Readonly<Record<string, Value>>;
  private readonly names: readonly string[];

  constructor(private readonly nameByValue: Readonly<Record<Value, string>>) {
    const entries = Object.entries<string>(nameByValue) as [Value, string][];
    this.values = Object.fromEntries(entries.map(([value, wireName]) => [wireName, value]));
    this.names = entries.map(([, wireName]) => wireName);
  }

  /** The name of the value in messages. */
  format(value: Value): string {
    return this.nameByValue[value];
  }

  /** The value that a field names; throws a `ValidationError` if it names none. */
  read(object: read.JsonObject, field: string): Value {
    return this.values[read.oneOf(object, field, this.names)] as Value;
  }

  /** The value of a name; undefined if this version does not know the name. */
  find(wireName: string): Value | undefined {
    return this.values[wireName];
  }
}
