/** The name of the holder that a hall's pair is. After the loss of a ledger the pair has a new generation, and so is a new holder. */
export const holderName = (hall: string, generation: number): string => `${hall}#${generation}`;
