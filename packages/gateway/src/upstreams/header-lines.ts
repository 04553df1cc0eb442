/**
 * Reads header lines and trailers of answers in one pass, without regular expressions: an upstream may
 * send any bytes in them, and the time that they cost grows with their number alone.
 */

/** Names and values alternate, in the order received. */
export type HeaderList = string[];

function isBlank(character: string | undefined): boolean {
  return character === ' ' || character === '\t';
}

function isVisible(character: string): boolean {
  return !isBlank(character);
}

/** Removes blanks at both ends; other white space belongs to the value. */
function removeOuterBlanks(text: string): string {
  const start = Array.prototype.findIndex.call(text, isVisible);
  if (start < 0) return '';
  const last = Array.prototype.findLastIndex.call(text, isVisible);
  return text.slice(start, last + 1);
}

/** Appends a line that begins with a blank to the value before it (RFC 9112, 5.2). */
function addContinuation(line: string, headers: HeaderList): void {
  const value = headers.pop();
  if (value === undefined) return;
  const more = removeOuterBlanks(line);
  headers.push(value === '' || more === '' ? value + more : `${value} ${more}`);
}

/**
 * Adds a line of a head or trailer to the headers before it. A line without a name is left out. Throws an
 * error if a carriage return stands inside the line.
 */
export function addHeaderLine(line: string, headers: HeaderList): void {
  if (line.includes('\r')) throw new Error('carriage return inside a header line');
  if (isBlank(line[0])) {
    addContinuation(line, headers);
    return;
  }
  const colon = line.indexOf(':');
  const name = line.slice(0, Math.max(0, colon));
  if (name === '' || name.includes(' ') || name.includes('\t')) return;
  headers.push(name, removeOuterBlanks(line.slice(colon + 1)));
}
