/** Text in the form in which Node.js sends it in a request head, one byte for each character. */

const CONTROL_CHARACTERS = /[^\P{Cc}\u0080-\u009f]/gu;
const OUTSIDE_PATH = /[^\x21-\x7e]+/g;
const HEADER_TOKEN = /^[\x21-\x7e]+$/;

const percentEncode = (character: string): string =>
  `%${character.charCodeAt(0).toString(16).toUpperCase().padStart(2, '0')}`;

/** The value of a header that holds the text in UTF-8; control characters, which headers can't hold, are percent-encoded. */
export const toHeaderValue = (text: string): string =>
  Buffer.from(text.replace(CONTROL_CHARACTERS, percentEncode), 'utf8').toString('latin1');

/** The path with all characters percent-encoded that a request line can't hold. */
export const toRequestPath = (path: string): string =>
  path.replace(OUTSIDE_PATH, (characters) =>
    [...Buffer.from(characters, 'utf8')]
      .map((byte) => percentEncode(String.fromCharCode(byte)))
      .join(''),
  );

/** True if a header can hold the text unchanged: printable ASCII without spaces. */
export const isHeaderToken = (text: string): boolean => HEADER_TOKEN.test(text);
