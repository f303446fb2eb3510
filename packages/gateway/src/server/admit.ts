/** Admits a customer's request when a rate-limit token is available. */
import type { ServerResponse } from 'node:http';
import type { Customer } from '@cardamomladder/customers';
import type { Admission, Quotas } from '../quota/quotas';

/** Waits for a token if one may become available; returns `left` if the caller disconnects meanwhile. */
export const admit = async (
  quotas: Pick<Quotas, 'admit' | 'refund'>,
  customer: Customer,
  res: ServerResponse,
): Promise<Admission | { kind: 'left' }> => {
  const decision = quotas.admit(customer);
  if (!(decision instanceof Promise)) return decision;
  let hasDisconnected = false;
  const onClose = () => {
    hasDisconnected = true;
  };
  res.once('close', onClose);
  const admission = await decision;
  res.removeListener('close', onClose);
  if (!hasDisconnected) return admission;
  if (admission.kind === 'admitted') quotas.refund(customer);
  return { kind: 'left' };
};
