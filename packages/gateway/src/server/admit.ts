/** Lets a customer's request in once there is a token for it. */
import type { ServerResponse } from 'node:http';
import type { Customer } from '@cardamomladder/customers';
import type { Admission, Quotas } from '../quota/quotas';

/** Waits for a token where there may be one; `left` when the caller has gone meanwhile. */
export const admit = async (
  quotas: Pick<Quotas, 'admit' | 'putBack'>,
  customer: Customer,
  res: ServerResponse,
): Promise<Admission | { kind: 'left' }> => {
  const deciding = quotas.admit(customer);
  if (!(deciding instanceof Promise)) return deciding;
  let hasLeft = false;
  const leave = () => {
    hasLeft = true;
  };
  res.once('close', leave);
  const admission = await deciding;
  res.removeListener('close', leave);
  if (!hasLeft) return admission;
  if (admission.kind === 'admitted') quotas.putBack(customer);
  return { kind: 'left' };
};
