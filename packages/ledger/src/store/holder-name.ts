/** The name under which a hall's pair holds rights. A lost ledger starts a new generation, and so a new holder. */
export const holderName = (hall: string, generation: number): string => `${hall}#${generation}`;
