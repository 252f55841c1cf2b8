/** The name of a host, from its name as a holder of rights. */
export const hostOfHolder = (holder: string): string => holder.slice(0, holder.lastIndexOf('#'));
