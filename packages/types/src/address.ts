/** Socket addresses as the settings and the registry write them: `host:port`. */

/** Host and port of `host:port`; the port is NaN when there is none. */
export const splitAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
