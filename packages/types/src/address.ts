/** Parsing of `host:port` socket addresses, the form used in settings and in the registry. */

const ADDRESS_PATTERN = /^[^\s:]+:(\d{1,5})$/;
const MAX_PORT = 65_535;

/** True for `host:port` with a port that a request can be sent to. */
export const isSocketAddress = (text: string): boolean => {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1]);
  return port >= 1 && port <= MAX_PORT;
};

/** Splits `host:port` at the last colon; the port is `NaN` if it is missing. */
export const splitAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
