/** The name of the holder whose entry sums up all ended incarnations of hosts. What they held counts as spent. */
export const retiredHolder = 'retired';
