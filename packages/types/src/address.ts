/** Parsing of `host:port` socket addresses, the form used in settings and in the registry. */

/** Splits `host:port` at the last colon; the port is `NaN` if it is missing. */
export const splitAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
